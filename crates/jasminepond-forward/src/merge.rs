//! Merges the results of the shards of a search.

use std::{cmp::Reverse, collections::BinaryHeap};

use bytes::{Bytes, BytesMut};

/// Size of one record. A shorter remainder at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Records for which room is reserved before any is read. `top_k` has no upper bound.
const RESERVED_RECORDS: usize = 64;

/// Returns the `top_k` greatest records of all parts in descending bytewise order.
/// Duplicates are kept.
///
/// ```
/// use jasminepond_forward::merge_top_k;
///
/// let parts: [&[u8]; 2] = [b"aaaaaaaaaaaaaaaacccccccccccccccc", b"bbbbbbbbbbbbbbbbrest"];
/// assert_eq!(&merge_top_k(parts, 2)[..], b"ccccccccccccccccbbbbbbbbbbbbbbbb");
/// ```
pub fn merge_top_k<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top_k: usize) -> Bytes {
    if top_k == 0 {
        return Bytes::new();
    }
    // The greatest records so far, with the least of them on top.
    let mut kept: BinaryHeap<Reverse<u128>> =
        BinaryHeap::with_capacity(top_k.min(RESERVED_RECORDS));
    for part in parts {
        for record in part.as_chunks::<RECORD_BYTES>().0 {
            // Big-endian integers compare in bytewise order.
            let record = u128::from_be_bytes(*record);
            if kept.len() < top_k {
                kept.push(Reverse(record));
            } else if kept.peek().is_some_and(|least| least.0 < record) {
                kept.pop();
                kept.push(Reverse(record));
            }
        }
    }
    let mut body = BytesMut::with_capacity(kept.len() * RECORD_BYTES);
    for Reverse(record) in kept.into_sorted_vec() {
        body.extend_from_slice(&record.to_be_bytes());
    }
    body.freeze()
}
