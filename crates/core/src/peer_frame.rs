//! Messages of the link between entry hosts.
//!
//! Each frame is one `PeerFrame`. The first frame of each side is `Hello`; both then use the highest protocol version
//! that both support. A frame whose body is unknown to this version is refused as `UnknownBody`.

use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::digest::{DIGEST_BUCKETS, Digest};
use crate::ids::HostId;
pub use crate::peer_work::*;

/// Protocol versions supported by this build, ascending.
pub const VERSIONS: &[u32] = &[1];

/// Why a frame was refused. The link is closed.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The bytes are not a valid frame.
    #[snafu(display("peer frame of {bytes} bytes is malformed: {source}"))]
    Malformed {
        bytes: usize,
        source: prost::DecodeError,
    },
    /// The frame has no body of a known kind.
    #[snafu(display("peer frame of {bytes} bytes has no body known to versions {VERSIONS:?}"))]
    UnknownBody { bytes: usize },
    /// The two sides have no protocol version in common.
    #[snafu(display("peer supports versions {theirs:?}, this host supports {VERSIONS:?}"))]
    UnsupportedVersion { theirs: Vec<u32> },
    /// The first frame was not a `Hello`, or it names no host.
    #[snafu(display("peer did not name its host and incarnation in the first frame"))]
    NoHello,
    /// A digest has an unexpected number of buckets.
    #[snafu(display("digest has {buckets} buckets, not {DIGEST_BUCKETS}"))]
    DigestSize { buckets: usize },
}

#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20"
    )]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Sent every 500 ms.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "3")]
    PromiseRequest(PromiseRequest),
    #[prost(message, tag = "4")]
    Promise(Promise),
    #[prost(message, tag = "5")]
    Release(Release),
    #[prost(message, tag = "6")]
    DocumentDigest(DocumentDigest),
    #[prost(message, tag = "7")]
    DocumentHeads(DocumentHeads),
    #[prost(message, tag = "8")]
    DocumentPush(DocumentPush),
    #[prost(message, tag = "9")]
    RequestForward(RequestForward),
    #[prost(message, tag = "10")]
    RequestAnswer(RequestAnswer),
    #[prost(message, tag = "11")]
    JobSubmit(JobSubmit),
    #[prost(message, tag = "12")]
    JobCancel(JobCancel),
    #[prost(message, tag = "13")]
    Inspect(Inspect),
    #[prost(message, tag = "14")]
    JobReply(JobReply),
    #[prost(message, tag = "15")]
    KeyClaim(KeyClaim),
    #[prost(message, tag = "16")]
    KeyClaimReply(KeyClaimReply),
    #[prost(message, tag = "17")]
    KeyAnswer(KeyAnswer),
    #[prost(message, tag = "18")]
    TermAnnouncement(TermAnnouncement),
    #[prost(message, tag = "19")]
    ReleaseRequest(ReleaseRequest),
    #[prost(message, tag = "20")]
    InspectReply(InspectReply),
}

/// First frame of each side.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Protocol versions that the sender supports.
    #[prost(uint32, repeated, tag = "1")]
    pub versions: Vec<u32>,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    #[prost(string, tag = "4")]
    pub failure_domain: String,
}

/// Periodic announcement of the sender's state.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Time of sending on the sender's clock.
    #[prost(uint64, tag = "1")]
    pub sent_ms: u64,
    /// `sent_ms` of the latest heartbeat received from the addressee.
    #[prost(uint64, optional, tag = "2")]
    pub echo_ms: Option<u64>,
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Free request slots on the servers that the sender owns.
    #[prost(uint32, tag = "4")]
    pub free_slots: u32,
    /// Requests waiting in its queues.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Expected wait of a new request.
    #[prost(uint32, tag = "6")]
    pub expected_wait_ms: u32,
    /// Shards that the sender commands.
    #[prost(message, repeated, tag = "7")]
    pub claims: Vec<ShardClaim>,
    // Tag 8 is reserved: it carried the whole digest.
    /// Root hash of the sender's document digest.
    #[prost(fixed64, optional, tag = "9")]
    pub digest_root: Option<u64>,
}

/// A shard that the sender commands.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ShardClaim {
    /// Number of the shard in its failure domain.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// 0 for the owner of the term, 1 for its successor.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
}

/// An owner requests a promise not to take over from its designated successor.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PromiseRequest {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Time of sending on the owner's clock.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
}

/// The designated successor promises not to take over.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Promise {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// `sent_ms` of the request.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
    /// The successor shuts down and never takes over in this term.
    #[prost(bool, tag = "4")]
    pub forever: bool,
}

/// The designated successor grants no more promises for a term and renews no leases at its rank 1.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Release {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Announces the owner of a term.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TermAnnouncement {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Name of the owner.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// Incarnation of the owner.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
}

/// The owner of a higher term requests the release of an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ReleaseRequest {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The term to release.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Digest of the sender's documents.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentDigest {
    #[prost(uint64, tag = "1")]
    pub documents: u64,
    /// One sum per bucket.
    #[prost(fixed64, repeated, tag = "2")]
    pub buckets: Vec<u64>,
}

/// Versions that the sender holds in the buckets that differ.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentHeads {
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    #[prost(message, repeated, tag = "2")]
    pub heads: Vec<DocumentVersion>,
}

/// A version of a document without its text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentVersion {
    #[prost(string, tag = "1")]
    pub team: String,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(fixed64, tag = "3")]
    pub text_hash: u64,
}

/// Documents that the addressee lacks.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentPush {
    #[prost(message, repeated, tag = "1")]
    pub documents: Vec<DocumentText>,
}

/// A document with its text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentText {
    #[prost(string, tag = "1")]
    pub team: String,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(string, tag = "3")]
    pub text: String,
}

/// Decodes one frame.
///
/// # Errors
///
/// `Malformed` if the bytes are not a valid frame, `UnknownBody` if the body is absent or of a kind of a later version.
pub fn decode(bytes: &[u8]) -> Result<Body, FrameError> {
    let frame = PeerFrame::decode(bytes).context(MalformedSnafu { bytes: bytes.len() })?;
    match frame.body {
        Some(body) => Ok(body),
        None => UnknownBodySnafu { bytes: bytes.len() }.fail(),
    }
}

#[must_use]
pub fn encode(body: Body) -> Vec<u8> {
    PeerFrame { body: Some(body) }.encode_to_vec()
}

/// Checks the first frame of a peer. Returns the peer and the highest protocol version that both sides support.
///
/// # Errors
///
/// `NoHello` if the frame is not a `Hello` or names no host, `UnsupportedVersion` if no version is common.
pub fn accept_hello(first: &Body) -> Result<(HostId, u32), FrameError> {
    let Body::Hello(hello) = first else {
        return NoHelloSnafu.fail();
    };
    ensure!(
        !hello.host.is_empty() && hello.incarnation != 0,
        NoHelloSnafu
    );
    let common = VERSIONS
        .iter()
        .filter(|version| hello.versions.contains(version));
    let Some(version) = common.max() else {
        return UnsupportedVersionSnafu {
            theirs: hello.versions.clone(),
        }
        .fail();
    };
    let host = HostId {
        name: hello.host.as_str().into(),
        incarnation: hello.incarnation,
    };
    Ok((host, *version))
}

impl From<&Digest> for DocumentDigest {
    fn from(digest: &Digest) -> Self {
        Self {
            documents: digest.documents,
            buckets: digest.buckets.to_vec(),
        }
    }
}

impl TryFrom<&DocumentDigest> for Digest {
    type Error = FrameError;

    fn try_from(digest: &DocumentDigest) -> Result<Self, FrameError> {
        let buckets = digest.buckets.as_slice().try_into().ok();
        let Some(buckets) = buckets else {
            return DigestSizeSnafu {
                buckets: digest.buckets.len(),
            }
            .fail();
        };
        Ok(Self {
            documents: digest.documents,
            buckets,
        })
    }
}
