//! Delays and timeouts of a node that finds no replica to attach to.

use std::time::Duration;

/// Delay before the next replica is tried after a lost stream.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Delay once every replica has been tried in vain. With it, a node that is refused stays below 2 KB
/// a second.
const MAX_DELAY: Duration = Duration::from_millis(550);
/// Timeout for the response to an attach request, the connection included.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout after several rounds in vain, for replicas that are slow because all nodes try them.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);

/// Attempts to attach since the last stream that was open.
#[derive(Debug, Default)]
pub(crate) struct AttachBackoff {
    failures: usize,
}

impl AttachBackoff {
    /// Records that a stream was open.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records an attempt in vain.
    pub(crate) fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether each of this number of replicas has been tried in vain.
    pub(crate) fn has_tried_all(&self, replicas: usize) -> bool {
        self.failures >= replicas
    }

    /// Returns the delay before the next attempt.
    pub(crate) fn delay(&self, replicas: usize) -> Duration {
        if self.has_tried_all(replicas) { MAX_DELAY } else { MIN_DELAY }
    }

    /// Returns the timeout of the next attempt. It doubles with each round.
    pub(crate) fn timeout(&self, replicas: usize) -> Duration {
        let rounds = self.failures / replicas.max(1);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        MIN_TIMEOUT.saturating_mul(2_u32.saturating_pow(rounds)).min(MAX_TIMEOUT)
    }
}
