//! Retry allowance of a whole request, shared by all calls of its call tree.
//!
//! Copying the remaining retries to each child call would multiply them under fan-out. Instead,
//! each child call is granted a part of the allowance. Its answer returns the unused retries; if
//! the answer is lost, all of them count as used.

/// Retries that one call at one node may still use or grant to child calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAllowance {
    available: u32,
}

impl RetryAllowance {
    /// Creates the allowance granted to the call.
    pub fn new(allowance: u32) -> Self {
        Self { available: allowance }
    }

    /// Returns the number of retries that are neither used nor granted to child calls.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Uses one retry. Returns whether one was available.
    pub fn consume(&mut self) -> bool {
        let Some(remaining) = self.available.checked_sub(1) else {
            return false;
        };
        self.available = remaining;
        true
    }

    /// Grants half of the available retries, rounded up, to a child call and keeps the rest for its
    /// siblings. Returns the number granted.
    pub fn grant_to_child(&mut self) -> u32 {
        let granted = self.available.div_ceil(2);
        self.available -= granted;
        granted
    }

    /// Returns a child call's unused retries to the allowance, at most as many as were granted to
    /// it.
    pub fn return_unused(&mut self, granted: u32, unused: u32) {
        self.available += unused.min(granted);
    }
}
