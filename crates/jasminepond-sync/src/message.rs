//! Messages between daemons, sent over peer links.

use bytes::Bytes;
use jasminepond_types::{Incarnation, InstanceId, Millis, Revision};
use serde::{Deserialize, Serialize};

use crate::Digest;

/// Maximum size of a chunk in one message.
pub const MAX_CHUNK_BYTES: usize = 32 * 1_024;

/// A message between two daemons. Times are sent as ages, since the daemons
/// share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncMessage {
    /// The revision in effect at the sender. A receiver with a newer revision
    /// responds with its own.
    #[serde(rename = "s")]
    State {
        /// The revision, zero before the first.
        #[serde(rename = "r")]
        revision: Revision,
        /// The digest of the list of files, none before the first.
        #[serde(rename = "d")]
        digest: Option<Digest>,
    },
    /// A reader of the sender's zone is alive. Each daemon of the zone forwards
    /// a heartbeat once.
    #[serde(rename = "h")]
    Heartbeat {
        /// The reader.
        #[serde(rename = "i")]
        reader: InstanceId,
        /// The incarnation of the reader.
        #[serde(rename = "n")]
        incarnation: Incarnation,
        /// Increases with each heartbeat of one incarnation.
        #[serde(rename = "c")]
        sequence: u64,
        /// Whether the reader is a [substitute](crate::Role::Substitute).
        #[serde(rename = "u", default)]
        substitute: bool,
        /// The revision in effect at the sender, which may be a forwarding daemon.
        #[serde(rename = "r")]
        revision: Revision,
        /// The digest of the sender's list of files.
        #[serde(rename = "d")]
        digest: Option<Digest>,
        /// Time since the reader's last successful call to the service.
        #[serde(rename = "a")]
        confirmed: Option<Millis>,
    },
    /// Requests a chunk of a file or of a list of files.
    #[serde(rename = "g")]
    Get {
        /// The revision that the sender is fetching.
        #[serde(rename = "r")]
        revision: Revision,
        /// The digest of the whole file or list.
        #[serde(rename = "d")]
        digest: Digest,
        /// Offset of the chunk in bytes.
        #[serde(rename = "o")]
        offset: u64,
    },
    /// A chunk of a file or of a list of files, at most [`MAX_CHUNK_BYTES`].
    #[serde(rename = "p")]
    Chunk {
        /// The digest of the whole file or list.
        #[serde(rename = "d")]
        digest: Digest,
        /// Offset of the chunk in bytes.
        #[serde(rename = "o")]
        offset: u64,
        /// Size of the whole file or list in bytes.
        #[serde(rename = "t")]
        total: u64,
        /// The content of the chunk.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
    /// The sender does not have the requested content.
    #[serde(rename = "m")]
    Missing {
        /// The digest of the whole file or list.
        #[serde(rename = "d")]
        digest: Digest,
    },
    /// The sender has used up its send budget for now.
    #[serde(rename = "b")]
    Busy {
        /// The digest of the whole file or list.
        #[serde(rename = "d")]
        digest: Digest,
        /// Time after which the request may succeed.
        #[serde(rename = "w")]
        retry_after: Millis,
    },
}
