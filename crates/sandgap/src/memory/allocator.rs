//! The process's allocator, which counts the bytes that are allocated.

use std::alloc::System;

use cap::Cap;

/// Counts what is allocated; it enforces no limit, since a failed allocation would end the process.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that are allocated at present.
pub(super) fn allocated() -> usize {
    ALLOCATOR.allocated()
}
