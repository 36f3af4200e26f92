//! Decoding of frames from other entry hosts.

use primrosestack_core::digest::Digest;
use primrosestack_core::ids::RequestKey;
use primrosestack_core::peer_frame::{
    AnswerError, Body, DocumentDigest, FrameError, Heartbeat, Hello, Key, Promise, RequestAnswer,
    accept_hello, decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn hello(versions: &[u32]) -> Body {
    Body::Hello(Hello {
        versions: versions.to_vec(),
        host: "a".to_owned(),
        incarnation: 7,
        failure_domain: "poa".to_owned(),
    })
}

/// Guards against a link without a common version or with an unnamed peer.
#[test]
fn the_first_frame_settles_version_and_peer() {
    let (host, version) = accept_hello(&hello(&[1, 9])).unwrap();
    assert_eq!((host.name.as_str(), host.incarnation, version), ("a", 7, 1));
    let refused = accept_hello(&hello(&[9]));
    assert!(matches!(refused, Err(FrameError::UnsupportedVersion { theirs }) if theirs == [9]));
    let promise = Body::Promise(Promise::default());
    assert!(matches!(accept_hello(&promise), Err(FrameError::NoHello)));
}

/// Guards against taking a body of a later version for one of this version.
#[test]
fn an_unknown_body_is_refused() {
    let later = [0xfa, 0x01, 0x00];
    assert!(matches!(
        decode(&later),
        Err(FrameError::UnknownBody { .. })
    ));
    assert!(matches!(decode(&[]), Err(FrameError::UnknownBody { .. })));
}

/// Guards against comparing digests of different sizes bucket by bucket.
#[test]
fn a_digest_of_another_size_is_refused() {
    let short = DocumentDigest {
        documents: 1,
        buckets: vec![0; 63],
    };
    let refused = Digest::try_from(&short);
    assert!(matches!(
        refused,
        Err(FrameError::DigestSize { buckets: 63 })
    ));
}

/// Guards against passing on a truncated answer or the answer to another request.
#[test]
fn only_the_whole_answer_to_the_request_passes() {
    let mut answer = RequestAnswer {
        request: "r1".to_owned(),
        announced_bytes: 3,
        body: vec![1, 2],
        ..RequestAnswer::default()
    };
    let short = answer.check("r1");
    assert!(matches!(
        short,
        Err(AnswerError::LengthMismatch { received: 2, .. })
    ));
    answer.body.push(3);
    assert_eq!(answer.check("r1"), Ok(()));
    let other = answer.check("r2");
    assert!(matches!(other, Err(AnswerError::WrongRequest { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary bytes from the network.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode(&bytes).map(|body| accept_hello(&body).is_ok());
    }

    /// Guards against a panic on a frame with one damaged byte.
    #[test]
    fn a_damaged_frame_never_panics(at in any::<prop::sample::Index>(), byte: u8, sent_ms: u64) {
        let heartbeat = Heartbeat { sent_ms, ..Heartbeat::default() };
        let mut bytes = encode(Body::Heartbeat(heartbeat.clone()));
        prop_assert_eq!(decode(&bytes).unwrap(), Body::Heartbeat(heartbeat));
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = decode(&bytes);
    }

    /// Guards against losing bits of a key in the conversion.
    #[test]
    fn a_key_survives_the_link(key: u128) {
        prop_assert_eq!(RequestKey::from(Key::from(RequestKey(key))), RequestKey(key));
    }
}
