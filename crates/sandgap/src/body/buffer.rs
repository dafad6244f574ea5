//! A body that is collected in allocations of its own. A part that the HTTP library hands out is a slice of a whole read
//! buffer and keeps all of that allocated, so parts are copied.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;

use crate::memory::{BudgetExhausted, MemoryBudget, Reservation};

/// Sizes of a block in bytes: the first one's, and that of the others at most. The largest is that of the HTTP library's
/// read buffers, so that freed blocks and buffers fill each other's gaps in the heap.
const BLOCK_BYTES: (usize, usize) = (1 << 10, 8 << 10);
/// Parts smaller than this are copied where they are passed on. A larger one is at least half of a read buffer.
const MIN_SHARED_BYTES: usize = 8 << 10;

/// An allocation that is reserved in a budget until it is freed.
struct Block {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The end of a part for which the budget has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unbuffered<'a>(pub &'a [u8]);

/// Collects the parts of a body. The allocated bytes are reserved in a budget until the last reference to them has been
/// dropped.
pub struct BodyBuffer {
    budget: Arc<MemoryBudget>,
    full: BufferedBody,
    last: Option<Block>,
    /// Declared length in bytes, which bounds the allocation.
    declared: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer that allocates from `budget`, for a body of the declared length, if any.
    pub fn new(budget: &Arc<MemoryBudget>, declared: Option<u64>) -> Self {
        let declared = declared.and_then(|length| usize::try_from(length).ok()).unwrap_or(usize::MAX);
        BodyBuffer { budget: budget.clone(), full: BufferedBody::default(), last: None, declared }
    }

    /// Number of bytes collected.
    pub fn len(&self) -> usize {
        self.full.len + self.last.as_ref().map_or(0, |block| block.bytes.len())
    }

    /// Whether nothing has been collected.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends a part.
    ///
    /// # Errors
    /// [`Unbuffered`] if the budget has no room for all of it.
    pub fn push<'a>(&mut self, mut part: &'a [u8]) -> Result<(), Unbuffered<'a>> {
        while !part.is_empty() {
            let length = self.len();
            let block = match &mut self.last {
                Some(block) if block.bytes.len() < block.bytes.capacity() => block,
                _ => self.add_block(length).map_err(|_| Unbuffered(part))?,
            };
            let (now, later) = part.split_at(part.len().min(block.bytes.capacity() - block.bytes.len()));
            block.bytes.extend_from_slice(now);
            part = later;
        }
        Ok(())
    }

    /// Starts a block behind `length` bytes: as large as what has come so far, within bounds.
    fn add_block(&mut self, length: usize) -> Result<&mut Block, BudgetExhausted> {
        let due = self.declared.saturating_sub(length).max(1);
        let capacity = length.clamp(BLOCK_BYTES.0, BLOCK_BYTES.1).min(due);
        let mut reservation = self.budget.reservation();
        reservation.grow_to(capacity)?;
        self.full.extend(self.last.take());
        Ok(self.last.insert(Block { bytes: Vec::with_capacity(capacity), _reservation: reservation }))
    }

    /// The collected bytes, which keep their reservation.
    pub fn finish(mut self) -> BufferedBody {
        self.full.extend(self.last.take());
        self.full
    }
}

/// A body in memory, in one or more blocks.
#[derive(Clone, Debug, Default)]
pub struct BufferedBody {
    blocks: VecDeque<Bytes>,
    len: usize,
}

impl BufferedBody {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The blocks, in order.
    pub fn blocks(&self) -> impl Iterator<Item = &Bytes> {
        self.blocks.iter()
    }

    /// Removes the first block.
    pub fn pop(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.len -= block.len();
        Some(block)
    }

    /// Appends the end of a part for which the budget had no room; it is not reserved.
    pub fn append_unreserved(&mut self, rest: Unbuffered) {
        self.len += rest.0.len();
        self.blocks.push_back(Bytes::copy_from_slice(rest.0));
    }

    fn extend(&mut self, block: Option<Block>) {
        if let Some(block) = block.filter(|block| !block.bytes.is_empty()) {
            self.len += block.bytes.len();
            self.blocks.push_back(Bytes::from_owner(block));
        }
    }
}

impl From<Bytes> for BufferedBody {
    fn from(bytes: Bytes) -> Self {
        let len = bytes.len();
        BufferedBody { blocks: VecDeque::from_iter(Some(bytes).filter(|b| !b.is_empty())), len }
    }
}

/// Copies a part that is small compared with the read buffer that it keeps allocated.
pub fn detach(part: Bytes) -> Bytes {
    if part.len() < MIN_SHARED_BYTES { Bytes::copy_from_slice(&part) } else { part }
}

#[cfg(test)]
mod tests;
