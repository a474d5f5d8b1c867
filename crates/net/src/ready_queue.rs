//! A queue of connections and streams that are ready to be polled, filled by their wakers.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Wake, Waker};

/// The order of polling. Streams come before accepted connections, so that a flood of new requests does not delay responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Streams, and connections that this process opened.
    High,
    /// Connections that were accepted.
    Low,
}

#[derive(Default)]
struct Queues {
    high: VecDeque<Arc<ReadyKey>>,
    low: VecDeque<Arc<ReadyKey>>,
}

/// The keys of connections and streams that can make progress. Each is queued at most once.
#[derive(Default)]
pub(crate) struct ReadyQueue {
    queues: Mutex<Queues>,
}

/// The state behind a waker.
struct ReadyKey {
    key: u64,
    priority: Priority,
    is_queued: AtomicBool,
    queue: Arc<ReadyQueue>,
}

impl Wake for ReadyKey {
    fn wake(self: Arc<Self>) {
        Wake::wake_by_ref(&self);
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if self.is_queued.swap(true, Ordering::AcqRel) {
            return;
        }
        let mut queues = self.queue.lock();
        let queue = match self.priority {
            Priority::High => &mut queues.high,
            Priority::Low => &mut queues.low,
        };
        queue.push_back(self.clone());
    }
}

impl ReadyQueue {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A waker that queues this key.
    pub(crate) fn waker(self: &Arc<Self>, key: u64, priority: Priority) -> Waker {
        Waker::from(Arc::new(ReadyKey {
            key,
            priority,
            is_queued: AtomicBool::new(false),
            queue: self.clone(),
        }))
    }

    /// Removes and returns the next key, if possible one of this priority.
    pub(crate) fn pop(&self, preferred: Priority) -> Option<u64> {
        let mut queues = self.lock();
        let Queues { high, low } = &mut *queues;
        let (first, second) = match preferred {
            Priority::High => (high, low),
            Priority::Low => (low, high),
        };
        let next = first.pop_front().or_else(|| second.pop_front())?;
        drop(queues);
        next.is_queued.store(false, Ordering::Release);
        Some(next.key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.lock();
        queues.high.is_empty() && queues.low.is_empty()
    }
}
