//! Bytes of unfinished responses, over all connections of a daemon.

use std::{cell::Cell, rc::Rc};

/// Most bytes that all connections together hold.
const MAX_HELD_BYTES: usize = 3 << 20;

/// Bytes that one connection may hold although the limit is reached, so that servers
/// that send without end do not cost the others their responses.
const FAIR_BYTES: usize = 256 << 10;

/// Counts the bytes of all connections.
#[derive(Debug, Clone, Default)]
pub struct BufferedBytes(Rc<Cell<usize>>);

impl BufferedBytes {
    /// The part of one connection, empty at first.
    ///
    /// ```
    /// use jasminepond_gateway::BufferedBytes;
    ///
    /// let held = BufferedBytes::default();
    /// let (mut one, mut other) = (held.share(), held.share());
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

    /// Bytes of all connections.
    pub fn total(&self) -> usize {
        self.0.get()
    }
}

/// The bytes of one connection, released when it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    all: BufferedBytes,
    bytes: usize,
}

impl BufferShare {
    /// Changes the bytes of the connection. Returns whether it may hold them.
    pub fn set(&mut self, bytes: usize) -> bool {
        let total = self.all.total() - self.bytes + bytes;
        self.all.0.set(total);
        self.bytes = bytes;
        bytes <= FAIR_BYTES || total <= MAX_HELD_BYTES
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
