//! Messages between daemons, carried by peer links.

use bytes::Bytes;
use jasminepond_types::{Incarnation, InstanceId, Millis, Revision};
use serde::{Deserialize, Serialize};

use crate::Digest;

/// Largest part of a file in one message.
pub const MAX_CHUNK_BYTES: usize = 32 * 1_024;

/// A message between two daemons. Times are ages, since they share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncMessage {
    /// What the sender has in effect. A receiver with a newer revision answers
    /// with its own.
    #[serde(rename = "s")]
    State {
        /// Its revision, zero before the first.
        #[serde(rename = "r")]
        revision: Revision,
        /// The digest of the list of files, none before the first.
        #[serde(rename = "d")]
        digest: Option<Digest>,
    },
    /// A reader of the sender's zone is there, passed on once by each daemon
    /// of the zone.
    #[serde(rename = "h")]
    Heartbeat {
        /// The reader.
        #[serde(rename = "i")]
        reader: InstanceId,
        /// Its run.
        #[serde(rename = "n")]
        incarnation: Incarnation,
        /// Rises with each heartbeat of one run.
        #[serde(rename = "c")]
        sequence: u64,
        /// Whether it reads only because it heard no reader.
        #[serde(rename = "u", default)]
        substitute: bool,
        /// The revision in effect at the sender, who need not be the reader.
        #[serde(rename = "r")]
        revision: Revision,
        /// The digest of the sender's list of files.
        #[serde(rename = "d")]
        digest: Option<Digest>,
        /// Time since the service last answered the reader.
        #[serde(rename = "a")]
        confirmed: Option<Millis>,
    },
    /// Asks for a part of a file or of a list of files.
    #[serde(rename = "g")]
    Get {
        /// The revision that the sender wants to complete.
        #[serde(rename = "r")]
        revision: Revision,
        /// The digest of the whole.
        #[serde(rename = "d")]
        digest: Digest,
        /// Where the part starts, in bytes.
        #[serde(rename = "o")]
        offset: u64,
    },
    /// Part of a file or of a list of files, at most [`MAX_CHUNK_BYTES`].
    #[serde(rename = "p")]
    Chunk {
        /// The digest of the whole.
        #[serde(rename = "d")]
        digest: Digest,
        /// Where the part starts, in bytes.
        #[serde(rename = "o")]
        offset: u64,
        /// Size of the whole in bytes.
        #[serde(rename = "t")]
        total: u64,
        /// The part.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
    /// The sender does not have what was asked for.
    #[serde(rename = "m")]
    Missing {
        /// The digest of the whole.
        #[serde(rename = "d")]
        digest: Digest,
    },
    /// The sender has used up its share of bytes for now.
    #[serde(rename = "b")]
    Busy {
        /// The digest of the whole.
        #[serde(rename = "d")]
        digest: Digest,
        /// Time after which the question may succeed.
        #[serde(rename = "w")]
        retry_after: Millis,
    },
}
