//! The retry allowance of a whole request, conserved over its call chain.
//!
//! Copying the remaining retries to each child multiplies them under fan-out. A ledger lends parts
//! instead: what a child call does not spend comes back with its answer, and a lost answer counts as
//! all spent.

/// Retries that one call at one node may still use or lend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ledger {
    available: u32,
}

impl Ledger {
    /// Starts with an allowance.
    pub fn new(allowance: u32) -> Self {
        Self { available: allowance }
    }

    /// Returns what is neither spent nor lent.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Spends one retry. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let Some(rest) = self.available.checked_sub(1) else {
            return false;
        };
        self.available = rest;
        true
    }

    /// Lends a part to a child call and keeps the rest for its siblings.
    pub fn lend(&mut self) -> u32 {
        let lent = self.available.div_ceil(2);
        self.available -= lent;
        lent
    }

    /// Takes back the part that a child call did not spend, never more than was lent.
    pub fn give_back(&mut self, lent: u32, unspent: u32) {
        self.available += unspent.min(lent);
    }
}
