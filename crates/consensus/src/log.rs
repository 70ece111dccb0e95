//! In-memory log: the last snapshot and the entries that follow it.

use crate::{Entry, Index, Membership, Payload, Snapshot, Term};

/// Log whose entries up to the snapshot index are compacted.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log and drops entries that the snapshot covers.
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let entries = entries.into_iter().filter(|entry| entry.index > snapshot.index).collect();
        Self { snapshot, entries }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of the entry at an index, the last one that the snapshot covers included.
    /// Returns `None` for earlier indexes and for those past the end.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns at most `limit` entries from the index `start` on, or from the first entry after the
    /// snapshot if `start` is compacted.
    pub(crate) fn entries_from(&self, start: Index, limit: usize) -> &[Entry] {
        let from = (start.saturating_sub(self.snapshot.index + 1) as usize).min(self.entries.len());
        let to = from.saturating_add(limit).min(self.entries.len());
        &self.entries[from..to]
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Appends entries that follow a matching one and removes existing entries that conflict with
    /// them. Returns the first index that changed.
    pub(crate) fn append_received(&mut self, entries: Vec<Entry>) -> Option<Index> {
        let mut first_changed = None;
        for entry in entries {
            if entry.index <= self.snapshot.index {
                continue;
            }
            if self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            let kept_count = (entry.index - self.snapshot.index - 1) as usize;
            self.entries.truncate(kept_count);
            first_changed.get_or_insert(entry.index);
            self.push(entry);
        }
        first_changed
    }

    /// Replaces the entries that a snapshot covers by the snapshot and keeps those after it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let covered_count = (snapshot.index - self.snapshot.index) as usize;
        self.entries.drain(..covered_count.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    /// Installs a snapshot received from the leader. Keeps later entries only if the log has the
    /// last entry that the snapshot covers.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let is_consistent = self.term_at(snapshot.index) == Some(snapshot.term);
        if is_consistent {
            self.compact(snapshot);
        } else {
            self.entries.clear();
            self.snapshot = snapshot;
        }
    }

    /// Returns the membership in force at an index.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        let entries = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let memberships = entries.filter_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some(membership),
            _ => None,
        });
        memberships.take(1).next().unwrap_or(&self.snapshot.membership)
    }

    /// Returns whether the log has a membership change after an index.
    pub(crate) fn has_membership_change_after(&self, index: Index) -> bool {
        let is_membership = |entry: &Entry| matches!(entry.payload, Payload::Membership(_));
        self.entries.iter().any(|entry| entry.index > index && is_membership(entry))
    }
}
