//! The encoding of messages between processes.

use endivedyke::opaque::{Message, MessageKind};
use endivedyke::{Code, Digest, Revision};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_message_that_is_appended_is_split_unchanged(payload: Vec<u8>, highest: u64, hash: u64, age_ms: u32, hops in 0_u8..128, has_opened: bool, load_permille: u16, waited_units in 0_u16..16) {
        let mut message = Message::new(MessageKind::Find);
        message.digest = Digest { highest: highest.into(), hash };
        message.age_ms = age_ms;
        message.hops = hops;
        message.has_opened = has_opened;
        message.settle_remaining_ms = 2_480;
        message.load_permille = load_permille;
        message.waited_ms = waited_units * 100;
        let mut datagram = payload.clone();
        message.append(&mut datagram);
        prop_assert_eq!(Message::split(&datagram), Ok((payload.as_slice(), message)));
    }

    #[test]
    fn arbitrary_bytes_are_split_or_malformed(datagram: Vec<u8>) {
        if let Err(error) = Message::split(&datagram) {
            prop_assert_eq!(error.code, Code::MessageMalformed);
        }
    }
}

/// A heartbeat of a version whose revisions had no era: from host 10.9.0.1, at revision 18.
const BEAT_WITHOUT_ERA: [u8; 30] = [
    1, 7, 0, 0, 10, 9, 0, 1, 0, 0, 0, 0, 0, 0, 0, 18, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 250, 255,
    255,
];

#[test]
fn a_message_of_a_version_without_eras_is_read_and_written_unchanged() {
    let (payload, message) = Message::split(&BEAT_WITHOUT_ERA).expect("sound");
    assert!(payload.is_empty());
    assert_eq!(message.kind, MessageKind::Beat);
    assert_eq!(message.digest.highest, Revision::new(0, 18).expect("small"));
    let mut written = Vec::new();
    message.append(&mut written);
    assert_eq!(written, BEAT_WITHOUT_ERA);
}

#[test]
fn a_version_without_eras_reads_a_later_era_as_a_higher_revision() {
    let mut message = Message::new(MessageKind::Beat);
    message.digest.highest = Revision::new(1, 3).expect("small");
    let mut written = Vec::new();
    message.append(&mut written);
    let highest = u64::from_be_bytes(written[8..16].try_into().expect("eight bytes"));
    assert!(
        highest > 18,
        "the receiver asks the sender for newer values"
    );
}

#[test]
fn the_hops_byte_of_an_offer_carries_its_longest_wait() {
    for (max_wait_ms, written_byte, read_ms) in [(0, 0, 0), (203, 50, 200), (9_000, 255, 1_020)] {
        let mut message = Message::new(MessageKind::Offer);
        message.max_wait_ms = max_wait_ms;
        message.hops = 3;
        let mut written = Vec::new();
        message.append(&mut written);
        assert_eq!(written[2], written_byte);
        let (_, read) = Message::split(&written).expect("sound");
        assert_eq!((read.max_wait_ms, read.hops), (read_ms, 0));
    }
}
