//! Truncated, forged or malformed input is rejected with its code and never makes a process panic.

mod common;

use std::net::{Ipv4Addr, SocketAddr};

use common::cluster_key;
use endivedyke::{
    ClusterKey, Code, Delta, ENVELOPE_BYTES, Envelope, EnvelopeKey, EnvelopeKind, HostList,
    KeyRing, SealedId, SealedIdKind, ServiceId, Settings, Suspicion, parse_packet, steer,
};
use proptest::prelude::*;

fn envelope() -> Envelope {
    Envelope {
        kind: EnvelopeKind::Inbound,
        service: ServiceId::from_name("panel-front"),
        caller: SocketAddr::from((Ipv4Addr::new(198, 51, 100, 7), 4433)),
        balancer: Ipv4Addr::new(10, 1, 0, 1),
        revision: 42.into(),
    }
}

fn sealed(packet: &[u8]) -> Vec<u8> {
    let mut datagram = packet.to_vec();
    EnvelopeKey::new(&cluster_key()).append(&mut datagram, &envelope());
    datagram
}

#[test]
fn an_opened_envelope_equals_the_sealed_one() {
    for packet in [&b""[..], b"short", &[9; 1_400]] {
        let datagram = sealed(packet);
        assert_eq!(datagram.len(), packet.len() + ENVELOPE_BYTES);
        let opened = EnvelopeKey::new(&cluster_key()).open(&datagram);
        assert_eq!(opened, Ok((envelope(), packet)));
    }
}

#[test]
fn envelopes_of_another_cluster_are_rejected() {
    let other = EnvelopeKey::new(&ClusterKey::new([8; 32]));
    let error = other.open(&sealed(b"packet")).expect_err("forged");
    assert_eq!(error.code, Code::EnvelopeForged);
}

#[test]
fn a_token_opens_only_for_its_service_purpose_and_cluster() {
    let ring = KeyRing::initial(&cluster_key());
    let service = ServiceId::from_name("panel-front");
    let token = SealedId {
        host: Ipv4Addr::new(10, 0, 0, 1),
        incarnation: 77,
        service,
        nonce: 5,
    };
    let bytes = token.seal(&ring, SealedIdKind::Token, [1, 2, 3]);
    assert_eq!(
        SealedId::open(&ring, SealedIdKind::Token, service, &bytes),
        Some(token)
    );
    let other_service = ServiceId::from_name("study-intake");
    assert_eq!(
        SealedId::open(&ring, SealedIdKind::Token, other_service, &bytes),
        None
    );
    assert_eq!(
        SealedId::open(&ring, SealedIdKind::Ticket, service, &bytes),
        None
    );
    let other_ring = KeyRing::initial(&ClusterKey::new([8; 32]));
    assert_eq!(
        SealedId::open(&other_ring, SealedIdKind::Token, service, &bytes),
        None
    );
    assert_eq!(
        SealedId::open(&ring, SealedIdKind::Token, service, &bytes[..19]),
        None
    );
}

#[test]
fn a_key_rotation_opens_tokens_of_both_epochs() {
    let key = cluster_key();
    let ring = |text: &str| KeyRing::parse(&key, &format!("epoch,salt,state\n{text}"));
    let before = ring("1,one,seal\n").expect("valid");
    let during = ring("1,one,open\n2,two,seal\n").expect("valid");
    let after = ring("2,two,seal\n").expect("valid");
    let service = ServiceId::from_name("panel-front");
    let token = SealedId {
        host: Ipv4Addr::new(10, 0, 0, 1),
        incarnation: 1,
        service,
        nonce: 1,
    };
    let old = token.seal(&before, SealedIdKind::Token, [0; 3]);
    let new = token.seal(&during, SealedIdKind::Token, [0; 3]);
    assert_eq!(
        SealedId::open(&during, SealedIdKind::Token, service, &old),
        Some(token)
    );
    assert_eq!(
        SealedId::open(&after, SealedIdKind::Token, service, &new),
        Some(token)
    );
    assert_eq!(
        SealedId::open(&after, SealedIdKind::Token, service, &old),
        None
    );
    for invalid in [
        "",
        "1,a,seal\n2,b,seal\n",
        "1,a,seal\n1,b,open\n",
        "x,a,seal\n",
        "1,a\n",
    ] {
        assert_eq!(
            ring(invalid).expect_err("invalid").code,
            Code::KeysSyntax,
            "{invalid:?}"
        );
    }
}

#[test]
fn settings_errors_name_the_line() {
    let valid = format!(
        "[process]\nhost = 10.0.0.1\nzone = a\n[platform]\naddress = 10.0.0.9:80\n[keys]\ncluster = {}\n",
        "ab".repeat(32)
    );
    assert!(Settings::parse(&valid).is_ok());
    let cases = [
        (
            valid.replace("zone = a", "zone = A B"),
            Code::SettingsValue,
            "line 3",
        ),
        (
            valid.replace("zone = a", "zome = a"),
            Code::SettingsUnknown,
            "line 3",
        ),
        (
            valid.replace("host = 10.0.0.1\n", ""),
            Code::SettingsMissing,
            "host",
        ),
        (
            valid.replace("ababab", "xyz"),
            Code::SettingsValue,
            "line 7",
        ),
        (
            format!("{valid}[network]\ncontrol_port = 70000\n"),
            Code::SettingsValue,
            "line 9",
        ),
        (
            format!("{valid}[agent]\ndrain_limit_s = 0\n"),
            Code::SettingsValue,
            "line 9",
        ),
        (
            format!("{valid}[log]\nlevel = loud\n"),
            Code::SettingsValue,
            "line 9",
        ),
        (
            format!("{valid}[peers]\nseeds = 10.0.0.2,b\n"),
            Code::SettingsValue,
            "line 9",
        ),
    ];
    for (text, code, place) in cases {
        let error = Settings::parse(&text).expect_err("invalid settings");
        assert_eq!(error.code, code, "{error}");
        assert!(error.message.contains(place), "{error}");
        assert!(
            !error.message.contains("abab"),
            "the key is never shown: {error}"
        );
    }
}

proptest! {
    #[test]
    fn an_envelope_with_a_changed_byte_is_rejected(
        packet in proptest::collection::vec(any::<u8>(), 0..64),
        at: prop::sample::Index,
        flip in 1u8..,
    ) {
        let mut datagram = sealed(&packet);
        let index = at.index(datagram.len());
        datagram[index] ^= flip;
        prop_assert!(EnvelopeKey::new(&cluster_key()).open(&datagram).is_err());
    }

    #[test]
    fn a_truncated_envelope_is_rejected(
        packet in proptest::collection::vec(any::<u8>(), 0..200),
        at: prop::sample::Index,
    ) {
        let datagram = sealed(&packet);
        let cut = at.index(datagram.len());
        prop_assert!(EnvelopeKey::new(&cluster_key()).open(&datagram[..cut]).is_err());
    }

    #[test]
    fn no_datagram_makes_parsing_or_steering_panic(datagram in proptest::collection::vec(any::<u8>(), 0..100)) {
        let _ = parse_packet(&datagram);
        let _ = EnvelopeKey::new(&cluster_key()).open(&datagram);
        let text = common::table_text("panel-front", &[1, 1], 9);
        let store = common::store(&[("table/panel-front", 1, &text)]);
        let service = ServiceId::from_name("panel-front");
        let _ = steer(&store, &Suspicion::default(), service, &datagram, 0);
    }

    #[test]
    fn random_bytes_do_not_open_as_a_token(bytes in proptest::collection::vec(any::<u8>(), 0..24)) {
        let ring = KeyRing::initial(&cluster_key());
        let service = ServiceId::from_name("panel-front");
        prop_assert_eq!(SealedId::open(&ring, SealedIdKind::Token, service, &bytes), None);
    }

    #[test]
    fn a_delta_yields_the_text_of_its_digest_or_is_rejected(
        old in "([a-c]\n?){0,20}",
        kept_lines in 0u32..30,
        removed_lines: u32,
        text in "([a-c]\n?){0,5}",
        digest: u64,
    ) {
        let delta = Delta { kept_lines, removed_lines, text, digest };
        if let Ok(new) = delta.apply(&old) {
            prop_assert_eq!(endivedyke::bytes_hash(new.as_bytes()), digest);
        }
    }

    #[test]
    fn no_published_text_makes_a_parser_panic(text in "[ -~\n]{0,200}") {
        let _ = HostList::parse(&text);
        let _ = HostList::parse(&format!("host,zone,role,state\n{text}"));
        let _ = KeyRing::parse(&cluster_key(), &text);
        let _ = Settings::parse(&text);
    }
}
