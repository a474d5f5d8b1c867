//! Wakers that put the key of a connection or stream on a queue.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Wake, Waker};

/// Keys whose connection or stream can move on, each at most once.
#[derive(Default)]
pub(crate) struct Ready {
    queue: Mutex<VecDeque<Arc<Key>>>,
}

pub(crate) struct Key {
    id: u64,
    queued: AtomicBool,
    ready: Arc<Ready>,
}

impl Wake for Key {
    fn wake(self: Arc<Self>) {
        Wake::wake_by_ref(&self);
    }
    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            self.ready.queue.lock().unwrap_or_else(PoisonError::into_inner).push_back(self.clone());
        }
    }
}

impl Ready {
    pub(crate) fn waker(self: &Arc<Self>, id: u64) -> Waker {
        Waker::from(Arc::new(Key { id, queued: AtomicBool::new(false), ready: self.clone() }))
    }
    pub(crate) fn pop(&self) -> Option<u64> {
        let key = self.queue.lock().unwrap_or_else(PoisonError::into_inner).pop_front()?;
        key.queued.store(false, Ordering::Release);
        Some(key.id)
    }
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }
}
