//! Bounds of the queue: how long a call would wait for a slot or a token, and whether there is room.

use super::{CallPriority, MAX_QUEUE_PER_LIMIT, QueueKey, RefusalCause, SlotAdmission, Ticket};

impl SlotAdmission {
    /// Estimates the wait behind the queued calls that precede `key`, in microseconds, and what it
    /// is for.
    pub(super) fn expected_wait_us(
        &self,
        now_us: u64,
        priority: CallPriority,
        key: QueueKey,
    ) -> (u64, RefusalCause) {
        let slot_wait_us = self.expected_slot_wait_us(now_us, priority, key);
        let token_wait_us = self.named_limit.as_ref().map_or(0, |named_limit| {
            let more_urgent = self.queues.range(..priority).map(|(_, queue)| queue.len());
            let same_queue = self.queues.get(&priority);
            let ahead_of_priority = same_queue.map_or(0, |queue| queue.range(..key).count());
            let ahead = more_urgent.sum::<usize>() + ahead_of_priority;
            named_limit.wait_us(now_us, priority, ahead, ahead_of_priority)
        });
        match token_wait_us > slot_wait_us {
            true => (token_wait_us, RefusalCause::NamedLimit),
            false => (slot_wait_us, RefusalCause::Slots),
        }
    }

    fn expected_slot_wait_us(&self, now_us: u64, priority: CallPriority, key: QueueKey) -> u64 {
        let wait_us = match priority {
            CallPriority::InProgress(_) => {
                let work_us = self.queued_work_us(CallPriority::InProgress(0), priority, key);
                work_us / f64::from(self.current_limit(now_us))
            }
            CallPriority::NewRequest(_) => self.new_request_wait_us(now_us, priority, key),
        };
        wait_us as u64
    }

    /// Estimates the wait of a new request, in microseconds: behind all calls for the slots that
    /// requests in progress leave, or behind other new requests only for those of the floor.
    fn new_request_wait_us(&self, now_us: u64, priority: CallPriority, key: QueueKey) -> f64 {
        let new_request_work_us = self.queued_work_us(CallPriority::NewRequest(0), priority, key);
        let all_work_us = self.queued_work_us(CallPriority::InProgress(0), priority, key);
        let shared_wait_us = all_work_us / f64::from(self.new_request_limit(now_us));
        let floor_slots = self.new_request_floor(now_us).floor();
        if floor_slots < 1.0 {
            return shared_wait_us;
        }
        shared_wait_us.min(new_request_work_us / floor_slots)
    }

    /// Returns the work of the queued calls from priority `first` on that precede `key`, in
    /// microseconds of service time.
    fn queued_work_us(&self, first: CallPriority, priority: CallPriority, key: QueueKey) -> f64 {
        let before = self.queues.range(first..priority).flat_map(|(_, queue)| queue.values());
        let same_queue = self.queues.get(&priority);
        let same_queue_before = same_queue.into_iter().flat_map(|queue| queue.range(..key));
        let ahead = before.chain(same_queue_before.map(|(_, queued_call)| queued_call));
        ahead.map(|queued_call| self.expected_service_us(queued_call.kind)).sum()
    }

    /// Returns whether a call of this priority finds no room in the queue.
    ///
    /// New requests have room for the slots of their floor, however many calls of requests in
    /// progress wait.
    pub(super) fn is_queue_full(&self, now_us: u64, priority: CallPriority) -> bool {
        let max_queued = self.current_limit(now_us) as usize * MAX_QUEUE_PER_LIMIT;
        if self.queued() < max_queued {
            return false;
        }
        let floor_slots = self.new_request_floor(now_us) as usize;
        let new_requests = self.queues.range(CallPriority::NewRequest(0)..);
        let queued_new: usize = new_requests.map(|(_, queue)| queue.len()).sum();
        priority.is_in_progress() || queued_new >= floor_slots * MAX_QUEUE_PER_LIMIT
    }

    /// Removes and returns the last queued call if it sorts after the given priority and key.
    pub(super) fn evict_behind(&mut self, priority: CallPriority, key: QueueKey) -> Option<Ticket> {
        let mut queues = self.queues.iter_mut().rev();
        let (last_priority, queue) = queues.find(|(_, queue)| !queue.is_empty())?;
        let (last_key, _) = queue.last_key_value()?;
        if (*last_priority, *last_key) < (priority, key) {
            return None;
        }
        queue.pop_last().map(|(key, _)| key.ticket)
    }
}
