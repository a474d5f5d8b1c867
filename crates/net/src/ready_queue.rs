//! Wakers that put the key of a connection or stream on a queue.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Wake, Waker};

/// Which keys are polled first. What is open goes before what is new, so that a flood of new connections does not delay responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Streams, and connections that were made from here.
    High,
    /// Connections that were accepted.
    Low,
}

#[derive(Default)]
struct Queues {
    high: VecDeque<Arc<ReadyKey>>,
    low: VecDeque<Arc<ReadyKey>>,
}

/// Keys whose connection or stream can make progress, each at most once.
#[derive(Default)]
pub(crate) struct ReadyQueue {
    queues: Mutex<Queues>,
}

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

    /// Takes the next key.
    pub(crate) fn pop(&self) -> Option<u64> {
        let mut queues = self.lock();
        let next = queues.high.pop_front().or_else(|| queues.low.pop_front())?;
        drop(queues);
        next.is_queued.store(false, Ordering::Release);
        Some(next.key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.lock();
        queues.high.is_empty() && queues.low.is_empty()
    }
}
