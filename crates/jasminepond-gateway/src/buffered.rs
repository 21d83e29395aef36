//! Limits the bytes of incomplete responses, over all connections of a daemon.

use std::{cell::Cell, rc::Rc};

/// Limit on the bytes that all connections buffer together.
const MAX_BUFFERED_BYTES: usize = 3 << 20;

/// Bytes that a connection may buffer even if the limit is reached, so that servers with
/// endless responses do not cause those of other servers to be dropped.
const GUARANTEED_BYTES: usize = 256 << 10;

/// Counts the buffered bytes of all connections.
#[derive(Debug, Clone, Default)]
pub struct BufferedBytes(Rc<Cell<usize>>);

impl BufferedBytes {
    /// Returns the share of a new connection, which starts at zero bytes.
    ///
    /// ```
    /// use jasminepond_gateway::BufferedBytes;
    ///
    /// let buffered = BufferedBytes::default();
    /// let (mut one, mut other) = (buffered.share(), buffered.share());
    /// assert!(one.set(2 << 20) && other.set(1_000));
    /// assert!(!one.set(3 << 20));
    /// drop(one);
    /// assert!(other.set(1 << 20));
    /// ```
    pub fn share(&self) -> BufferShare {
        BufferShare {
            all: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the buffered bytes of all connections.
    pub fn total(&self) -> usize {
        self.0.get()
    }
}

/// Buffered bytes of one connection, subtracted from the total on drop.
#[derive(Debug)]
pub struct BufferShare {
    all: BufferedBytes,
    bytes: usize,
}

impl BufferShare {
    /// Sets the bytes of the connection. Returns whether they are within the limits.
    pub fn set(&mut self, bytes: usize) -> bool {
        let total = self.all.total() - self.bytes + bytes;
        self.all.0.set(total);
        self.bytes = bytes;
        bytes <= GUARANTEED_BYTES || total <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
