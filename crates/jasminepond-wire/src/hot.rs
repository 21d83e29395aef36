//! Hand-written serde code for the most frequent frames, encoded as positional
//! arrays without field names.
//!
//! The hits of an answer are encoded as two columns: a list of ids and a byte
//! string with one little-endian `f64` per id. Decoding a CBOR header costs more
//! than decoding the value after it, and encoding each hit separately would add
//! two headers per hit.

use std::{convert::Infallible, fmt, marker::PhantomData, str::FromStr};

use jasminepond_types::{Millis, Version};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, DeserializeSeed, SeqAccess, Visitor},
    ser::SerializeTuple,
};

use crate::{
    Hit, Part, PartFailure, PartOutcome, PartResult, PartResults, Score, Search, ServerCondition,
    ServerHint,
    codec::{MAX_HITS, MAX_PARTS, MAX_VERSIONS},
    field::{List, Text, id, optional, required, required_seed, skip_rest},
};

const ANSWER: u8 = 0;
const FAILED: u8 = 1;

const SCORE_BYTES: usize = 8;

/// ciborium passes byte strings of up to 4,096 bytes without an allocation and
/// rejects longer ones unless the visitor requests an owned buffer.
const MAX_UNBUFFERED_SCORES: usize = 4_096 / SCORE_BYTES;

/// Implements `Deserialize` with a function that reads the fields in order; any
/// further fields are skipped.
macro_rules! positional {
    ($name:ident, $read:path) => {
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                struct Fields;

                impl<'de> Visitor<'de> for Fields {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str(concat!("the fields of ", stringify!($name)))
                    }

                    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<$name, A::Error> {
                        let value = $read(&mut seq)?;
                        skip_rest(&mut seq)?;
                        Ok(value)
                    }
                }

                d.deserialize_seq(Fields)
            }
        }
    };
}

positional!(Part, read_part);
positional!(PartResult, read_part_result);
positional!(ServerHint, read_hint);

/// Reads the fields of a [`Search`] frame that follow its kind.
pub(crate) fn read_search<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<Search, A::Error> {
    Ok(Search {
        id: required(seq, "id")?,
        tenant: required_seed(seq, id(), "tenant")?,
        class: required_seed(seq, id(), "class")?,
        priority: required(seq, "priority")?,
        weight: required(seq, "weight")?,
        group: required_seed(seq, id(), "group")?,
        version: required(seq, "version")?,
        query: required(seq, "query")?,
        limit: required(seq, "limit")?,
        left: required(seq, "left")?,
        parts: required_seed(seq, List::<PhantomData<Part>>::of(MAX_PARTS), "parts")?,
    })
}

/// Reads the fields of a [`PartResults`] frame that follow its kind.
pub(crate) fn read_part_results<'de, A: SeqAccess<'de>>(
    seq: &mut A,
) -> Result<PartResults, A::Error> {
    Ok(PartResults {
        id: required(seq, "id")?,
        items: required_seed(seq, List::<PhantomData<PartResult>>::of(MAX_PARTS), "items")?,
    })
}

fn read_part<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<Part, A::Error> {
    Ok(Part {
        part: required(seq, "part")?,
        service: required_seed(seq, id(), "service")?,
        server: required_seed(seq, id(), "server")?,
    })
}

fn read_part_result<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<PartResult, A::Error> {
    Ok(PartResult {
        part: required(seq, "part")?,
        hint: required(seq, "hint")?,
        outcome: read_outcome(seq)?,
    })
}

fn read_outcome<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<PartOutcome, A::Error> {
    let code: u8 = required(seq, "outcome")?;
    match code {
        ANSWER => Ok(PartOutcome::Answer {
            version: required(seq, "version")?,
            count: required(seq, "count")?,
            hits: read_hits(seq)?,
        }),
        FAILED => read_failed(seq),
        // An outcome that a newer minor version added is treated as a failure.
        _ => Ok(PartOutcome::Failed {
            reason: PartFailure::Failed,
            retry_after: None,
            versions: Vec::new(),
        }),
    }
}

fn read_failed<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<PartOutcome, A::Error> {
    let reason = PartFailure::from_code(required(seq, "reason")?);
    let retry_after: Option<Millis> = optional(seq)?;
    let versions = List::<PhantomData<Version>>::of(MAX_VERSIONS);
    Ok(PartOutcome::Failed {
        reason,
        retry_after,
        versions: seq.next_element_seed(versions)?.unwrap_or_default(),
    })
}

fn read_hint<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<ServerHint, A::Error> {
    Ok(ServerHint {
        server: required_seed(seq, id(), "server")?,
        queued: required(seq, "queued")?,
        running: required(seq, "running")?,
        slots: required(seq, "slots")?,
        service_us: required(seq, "service_us")?,
        condition: ServerCondition::from_code(optional(seq)?),
        top_priority: optional(seq)?,
        top_queued: optional(seq)?,
    })
}

fn read_hits<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<Vec<Hit>, A::Error> {
    let ids = List {
        max: MAX_HITS,
        seed: Text::<UnscoredHit>::new(Hit::MAX_ID_BYTES),
    };
    let unscored = required_seed(seq, ids, "ids of hits")?;
    required_seed(seq, Scores(unscored), "scores of hits")
}

/// A hit whose score has not been read yet.
struct UnscoredHit(Hit);

impl FromStr for UnscoredHit {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(Hit {
            id: text.into(),
            score: Score::default(),
        }))
    }
}

/// Reads the column of scores and adds them to the hits.
struct Scores(Vec<UnscoredHit>);

impl<'de> DeserializeSeed<'de> for Scores {
    type Value = Vec<Hit>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Vec<Hit>, D::Error> {
        if self.0.len() > MAX_UNBUFFERED_SCORES {
            return d.deserialize_byte_buf(self);
        }
        d.deserialize_bytes(self)
    }
}

impl Visitor<'_> for Scores {
    type Value = Vec<Hit>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} scores of {SCORE_BYTES} bytes", self.0.len())
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<Hit>, E> {
        let (scores, rest) = bytes.as_chunks::<SCORE_BYTES>();
        if scores.len() != self.0.len() || !rest.is_empty() {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        let scored = |(UnscoredHit(hit), score): (_, &[u8; SCORE_BYTES])| {
            let score = Score::new(f64::from_le_bytes(*score)).map_err(E::custom)?;
            Ok(Hit { score, ..hit })
        };
        self.0.into_iter().zip(scores).map(scored).collect()
    }
}

/// Serializes the column of ids.
struct Ids<'a>(&'a [Hit]);

impl Serialize for Ids<'_> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_seq(self.0.iter().map(|hit| &*hit.id))
    }
}

/// Serializes the column of scores.
struct ScoreBytes<'a>(&'a [Hit]);

impl Serialize for ScoreBytes<'_> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::with_capacity(self.0.len() * SCORE_BYTES);
        for hit in self.0 {
            bytes.extend_from_slice(&hit.score.get().to_le_bytes());
        }
        s.serialize_bytes(&bytes)
    }
}

/// Serializes the kind and the fields of a [`Search`] frame.
pub(crate) struct SearchFrame<'a>(pub(crate) u64, pub(crate) &'a Search);

impl Serialize for SearchFrame<'_> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let Self(kind, search) = self;
        let mut fields = s.serialize_tuple(12)?;
        fields.serialize_element(kind)?;
        fields.serialize_element(&search.id)?;
        fields.serialize_element(&search.tenant)?;
        fields.serialize_element(&search.class)?;
        fields.serialize_element(&search.priority)?;
        fields.serialize_element(&search.weight)?;
        fields.serialize_element(&search.group)?;
        fields.serialize_element(&search.version)?;
        fields.serialize_element(&search.query)?;
        fields.serialize_element(&search.limit)?;
        fields.serialize_element(&search.left)?;
        fields.serialize_element(&search.parts)?;
        fields.end()
    }
}

/// Serializes the kind and the fields of a [`PartResults`] frame.
pub(crate) struct PartResultsFrame<'a>(pub(crate) u64, pub(crate) &'a PartResults);

impl Serialize for PartResultsFrame<'_> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let Self(kind, parts) = self;
        (kind, parts.id, &parts.items).serialize(s)
    }
}

impl Serialize for Part {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        (self.part, &self.service, &self.server).serialize(s)
    }
}

impl Serialize for PartResult {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match &self.outcome {
            PartOutcome::Answer {
                version,
                count,
                hits,
            } => {
                let (ids, scores) = (Ids(hits), ScoreBytes(hits));
                (self.part, &self.hint, ANSWER, version, count, ids, scores).serialize(s)
            }
            PartOutcome::Failed {
                reason,
                retry_after,
                versions,
            } => {
                let code = reason.code();
                (self.part, &self.hint, FAILED, code, retry_after, versions).serialize(s)
            }
        }
    }
}

impl Serialize for ServerHint {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        (
            &self.server,
            self.queued,
            self.running,
            self.slots,
            self.service_us,
            self.condition.code(),
            self.top_priority,
            self.top_queued,
        )
            .serialize(s)
    }
}
