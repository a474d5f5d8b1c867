//! Signals as flags that a loop checks.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// What the process was asked by signal.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    is_stop_requested: Arc<AtomicBool>,
    is_reload_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Handles SIGTERM and SIGINT (stop) and SIGHUP (reload) from here on.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn install() -> std::io::Result<Signals> {
        let signals = Signals::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.is_stop_requested.clone())?;
        }
        signal_hook::flag::register(SIGHUP, signals.is_reload_requested.clone())?;
        Ok(signals)
    }
    /// Requests a stop as a signal would.
    pub fn request_stop(&self) {
        self.is_stop_requested.store(true, Ordering::Relaxed);
    }
    /// Whether a stop was requested.
    pub fn is_stop_requested(&self) -> bool {
        self.is_stop_requested.load(Ordering::Relaxed)
    }
    /// Whether a reload was requested since the last call.
    pub fn take_reload_request(&self) -> bool {
        self.is_reload_requested.swap(false, Ordering::Relaxed)
    }
}
