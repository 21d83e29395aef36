//! Decoding of positional fields.

use std::{fmt, marker::PhantomData, str::FromStr};

use serde::{
    Deserialize, Deserializer,
    de::{self, DeserializeSeed, Error, IgnoredAny, SeqAccess, Visitor},
};

use crate::codec::MAX_PARTS;

/// Maximum number of elements for which memory is reserved before they are read,
/// so that a short frame that declares a long list allocates little.
const MAX_PREALLOCATED: usize = 1_024;

/// Reads the next field of a positional array; an error if it is missing.
pub(crate) fn required<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    name: &'static str,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| Error::missing_field(name))
}

/// Reads the next field of a positional array with `seed`; an error if it is
/// missing.
pub(crate) fn required_seed<'de, S: DeserializeSeed<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    seed: S,
    name: &'static str,
) -> Result<S::Value, A::Error> {
    seq.next_element_seed(seed)?
        .ok_or_else(|| Error::missing_field(name))
}

/// Reads the next field of a positional array. An older peer may omit it, in which
/// case the default is returned.
pub(crate) fn optional<'de, T: Deserialize<'de> + Default, A: SeqAccess<'de>>(
    seq: &mut A,
) -> Result<T, A::Error> {
    Ok(seq.next_element()?.unwrap_or_default())
}

/// Skips the fields that a newer peer appended.
pub(crate) fn skip_rest<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<(), A::Error> {
    while seq.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

/// Parses a text of at most `max` bytes without an intermediate `String`.
pub(crate) struct Text<T> {
    max: usize,
    target: PhantomData<T>,
}

impl<T> Text<T> {
    pub(crate) const fn new(max: usize) -> Self {
        Self {
            max,
            target: PhantomData,
        }
    }
}

impl<T> Clone for Text<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Text<T> {}

/// Parses an id, whose `FromStr` limits the length.
pub(crate) const fn id<T>() -> Text<T> {
    Text::new(usize::MAX)
}

impl<'de, T: FromStr<Err: fmt::Display>> DeserializeSeed<'de> for Text<T> {
    type Value = T;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<T, D::Error> {
        d.deserialize_str(self)
    }
}

impl<T: FromStr<Err: fmt::Display>> Visitor<'_> for Text<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a short text")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        if text.len() > self.max {
            return Err(E::invalid_length(text.len(), &self));
        }
        text.parse().map_err(E::custom)
    }
}

/// Reads a list of at most `max` elements, each with a copy of `seed`. A list that
/// declares a greater length is rejected before anything is allocated.
#[derive(Clone, Copy)]
pub(crate) struct List<S> {
    pub(crate) max: usize,
    pub(crate) seed: S,
}

impl<T> List<PhantomData<T>> {
    pub(crate) const fn of(max: usize) -> Self {
        Self {
            max,
            seed: PhantomData,
        }
    }
}

impl<'de, S: DeserializeSeed<'de> + Copy> DeserializeSeed<'de> for List<S> {
    type Value = Vec<S::Value>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Self::Value, D::Error> {
        d.deserialize_seq(self)
    }
}

impl<'de, S: DeserializeSeed<'de> + Copy> Visitor<'de> for List<S> {
    type Value = Vec<S::Value>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {} elements", self.max)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let declared = seq.size_hint().unwrap_or(0);
        if declared > self.max {
            return Err(Error::invalid_length(declared, &self));
        }
        let mut list = Vec::with_capacity(declared.min(MAX_PREALLOCATED));
        while let Some(element) = seq.next_element_seed(self.seed)? {
            if list.len() == self.max {
                return Err(Error::invalid_length(self.max + 1, &self));
            }
            list.push(element);
        }
        Ok(list)
    }
}

/// Reads the sub-request numbers of a cancel frame.
pub(crate) fn parts<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u32>, D::Error> {
    List::<PhantomData<u32>>::of(MAX_PARTS).deserialize(d)
}
