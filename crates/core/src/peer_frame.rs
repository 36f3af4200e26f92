//! Messages of the link between entry hosts.
//!
//! Each frame is one `PeerFrame`. The first frame of each side is `Hello`; both then use the highest protocol version
//! that both speak. A frame whose body this version does not know decodes to `UnknownBody`.

use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::digest::{DIGEST_BUCKETS, Digest};
use crate::ids::HostId;
pub use crate::peer_work::*;

/// Protocol versions that this build speaks, ascending.
pub const VERSIONS: &[u32] = &[1];

/// Why a frame was refused; the link is closed.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The bytes are not a frame.
    #[snafu(display("peer frame of {bytes} bytes is malformed: {source}"))]
    Malformed {
        /// Length of the frame.
        bytes: usize,
        /// Cause.
        source: prost::DecodeError,
    },
    /// The frame has no body of a known kind.
    #[snafu(display("peer frame of {bytes} bytes has no body known to versions {VERSIONS:?}"))]
    UnknownBody {
        /// Length of the frame.
        bytes: usize,
    },
    /// The two sides have no protocol version in common.
    #[snafu(display("peer speaks versions {theirs:?}, this host speaks {VERSIONS:?}"))]
    UnsupportedVersion {
        /// Versions of the peer.
        theirs: Vec<u32>,
    },
    /// The first frame was not a hello, or the hello names no host.
    #[snafu(display("peer did not name its host and incarnation in the first frame"))]
    NoHello,
    /// A digest has another number of buckets.
    #[snafu(display("digest has {buckets} buckets, not {DIGEST_BUCKETS}"))]
    DigestSize {
        /// Number of buckets.
        buckets: usize,
    },
}

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Content.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20"
    )]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of each side.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Sent every 500 ms.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// An owner asks its designated successor for a promise.
    #[prost(message, tag = "3")]
    PromiseRequest(PromiseRequest),
    /// Answer of the designated successor.
    #[prost(message, tag = "4")]
    Promise(Promise),
    /// The designated successor gives no more promises for a term.
    #[prost(message, tag = "5")]
    Release(Release),
    /// Digest of the sender's documents.
    #[prost(message, tag = "6")]
    DocumentDigest(DocumentDigest),
    /// Versions that the sender holds in the buckets that differ.
    #[prost(message, tag = "7")]
    DocumentHeads(DocumentHeads),
    /// Documents that the addressee lacks.
    #[prost(message, tag = "8")]
    DocumentPush(DocumentPush),
    /// A request sent on to the owner of a shard or to another failure domain.
    #[prost(message, tag = "9")]
    RequestForward(RequestForward),
    /// Answer to a forwarded request.
    #[prost(message, tag = "10")]
    RequestAnswer(RequestAnswer),
    /// A job sent on to the owner of its shard.
    #[prost(message, tag = "11")]
    JobSubmit(JobSubmit),
    /// Cancellations sent on to the owner of a shard.
    #[prost(message, tag = "12")]
    JobCancel(JobCancel),
    /// Asks for state that only its owner has.
    #[prost(message, tag = "13")]
    Inspect(Inspect),
    /// Answer to a job call.
    #[prost(message, tag = "14")]
    JobReply(JobReply),
    /// Claims an idempotency key at its home.
    #[prost(message, tag = "15")]
    KeyClaim(KeyClaim),
    /// Answer to a claim.
    #[prost(message, tag = "16")]
    KeyClaimReply(KeyClaimReply),
    /// Keeps the answer of a claimed key.
    #[prost(message, tag = "17")]
    KeyAnswer(KeyAnswer),
    /// Tells of the owner of a term.
    #[prost(message, tag = "18")]
    TermAnnouncement(TermAnnouncement),
    /// The owner of a higher term asks for the release of an earlier one.
    #[prost(message, tag = "19")]
    ReleaseRequest(ReleaseRequest),
    /// Answer to an inspection.
    #[prost(message, tag = "20")]
    InspectReply(InspectReply),
}

/// First frame of each side.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Protocol versions that the sender speaks.
    #[prost(uint32, repeated, tag = "1")]
    pub versions: Vec<u32>,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Failure domain of the sender.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
}

/// State of the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Time of sending on the sender's clock, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub sent_ms: u64,
    /// `sent_ms` of the latest heartbeat received from the addressee.
    #[prost(uint64, optional, tag = "2")]
    pub echo_ms: Option<u64>,
    /// The sender is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Free request slots on the servers that the sender owns.
    #[prost(uint32, tag = "4")]
    pub free_slots: u32,
    /// Requests waiting in its queues.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Expected wait of a new request in milliseconds.
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
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// 0 for the owner of the term, 1 for its successor.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
}

/// An owner asks its designated successor for a promise.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PromiseRequest {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Time of sending on the owner's clock, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
}

/// The designated successor will not take over.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Promise {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Echo of the owner's time of sending.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
    /// The successor shuts down and never takes over this term.
    #[prost(bool, tag = "4")]
    pub forever: bool,
}

/// The designated successor gives no more promises for a term and renews nothing at its rank 1.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Release {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Tells of the owner of a term.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TermAnnouncement {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Name of its owner.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// Incarnation of its owner.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
}

/// The owner of a higher term asks for the release of an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ReleaseRequest {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The term to release.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Digest of the sender's documents.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentDigest {
    /// Number of documents.
    #[prost(uint64, tag = "1")]
    pub documents: u64,
    /// One sum per bucket.
    #[prost(fixed64, repeated, tag = "2")]
    pub buckets: Vec<u64>,
}

/// Versions that the sender holds in some buckets.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentHeads {
    /// The buckets.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    /// The versions.
    #[prost(message, repeated, tag = "2")]
    pub heads: Vec<DocumentVersion>,
}

/// One version of a document without its text.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentVersion {
    /// Team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Hash of the text.
    #[prost(fixed64, tag = "3")]
    pub text_hash: u64,
}

/// Documents that the addressee lacks.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentPush {
    /// The documents.
    #[prost(message, repeated, tag = "1")]
    pub documents: Vec<DocumentText>,
}

/// One document.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentText {
    /// Team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Text.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// Decodes one frame.
///
/// # Errors
///
/// `Malformed` if the bytes are no frame, `UnknownBody` if the body is absent or of a kind of a later version.
pub fn decode(bytes: &[u8]) -> Result<Body, FrameError> {
    let frame = PeerFrame::decode(bytes).context(MalformedSnafu { bytes: bytes.len() })?;
    match frame.body {
        Some(body) => Ok(body),
        None => UnknownBodySnafu { bytes: bytes.len() }.fail(),
    }
}

/// Encodes one frame.
#[must_use]
pub fn encode(body: Body) -> Vec<u8> {
    PeerFrame { body: Some(body) }.encode_to_vec()
}

/// The peer as named by its first frame, and the highest protocol version that both sides speak.
///
/// # Errors
///
/// `NoHello` if the frame is no hello or names no host, `UnsupportedVersion` if no version is common.
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
