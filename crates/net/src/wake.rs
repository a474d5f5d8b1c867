//! Wakers that put the key of a connection or stream on a queue.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Wake, Waker};

/// Whose turn it is first. What is under way goes before what is new: a flood at the front does not keep answers waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Streams, and connections that were made here.
    First,
    /// Connections that came in.
    Then,
}

#[derive(Default)]
struct Queues {
    first: VecDeque<Arc<Key>>,
    then: VecDeque<Arc<Key>>,
}

/// Keys whose connection or stream can move on, each at most once.
#[derive(Default)]
pub(crate) struct Ready {
    queues: Mutex<Queues>,
}

pub(crate) struct Key {
    id: u64,
    turn: Turn,
    queued: AtomicBool,
    ready: Arc<Ready>,
}

impl Wake for Key {
    fn wake(self: Arc<Self>) {
        Wake::wake_by_ref(&self);
    }
    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            let mut queues = self.ready.lock();
            let queue = if self.turn == Turn::First {
                &mut queues.first
            } else {
                &mut queues.then
            };
            queue.push_back(self.clone());
        }
    }
}

impl Ready {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub(crate) fn waker(self: &Arc<Self>, id: u64, turn: Turn) -> Waker {
        Waker::from(Arc::new(Key {
            id,
            turn,
            queued: AtomicBool::new(false),
            ready: self.clone(),
        }))
    }
    pub(crate) fn pop(&self) -> Option<u64> {
        let mut queues = self.lock();
        let key = queues
            .first
            .pop_front()
            .or_else(|| queues.then.pop_front())?;
        drop(queues);
        key.queued.store(false, Ordering::Release);
        Some(key.id)
    }
    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.lock();
        queues.first.is_empty() && queues.then.is_empty()
    }
}
