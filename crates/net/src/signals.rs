//! Signals as flags that a loop checks.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// What the process was asked by signal.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Handles SIGTERM and SIGINT (stop) and SIGHUP (reload) from here on.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn take() -> std::io::Result<Signals> {
        let signals = Signals::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())?;
        }
        signal_hook::flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }
    /// Requests a stop as a signal would.
    pub fn ask_stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
    /// Whether a stop was requested.
    pub fn stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
    /// Whether a reload was requested since the last call.
    pub fn reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
