//! Datagrams between processes.

use endivedyke::opaque::{Message, MessageKind};
use endivedyke::{Code, Digest};
use proptest::prelude::*;

proptest! {
    #[test]
    fn what_is_sent_is_read(payload: Vec<u8>, highest: u64, hash: u64, age_ms: u32, hops: u8, load_permille: u16, wait_units in 0_u16..16) {
        let mut message = Message::new(MessageKind::Find);
        message.digest = Digest { highest: highest.into(), hash };
        message.age_ms = age_ms;
        message.hops = hops;
        message.unsettled_ms = 2_480;
        message.load_permille = load_permille;
        message.waited_ms = wait_units * 100;
        let mut datagram = payload.clone();
        message.append(&mut datagram);
        prop_assert_eq!(Message::split(&datagram), Ok((payload.as_slice(), message)));
    }

    #[test]
    fn no_bytes_break_it(datagram: Vec<u8>) {
        if let Err(error) = Message::split(&datagram) {
            prop_assert_eq!(error.code, Code::MessageMalformed);
        }
    }
}
