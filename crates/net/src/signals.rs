//! Signal handlers that set flags for an event loop to check.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The requests that the process received by signal.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    is_stop_requested: Arc<AtomicBool>,
    is_reload_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers for SIGTERM and SIGINT, which request a stop, and for SIGHUP, which requests a reload.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub fn install() -> std::io::Result<Signals> {
        let signals = Signals::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.is_stop_requested.clone())?;
        }
        signal_hook::flag::register(SIGHUP, signals.is_reload_requested.clone())?;
        Ok(signals)
    }
    /// Requests a stop, like a signal.
    pub fn request_stop(&self) {
        self.is_stop_requested.store(true, Ordering::Relaxed);
    }
    /// Whether a stop was requested.
    pub fn is_stop_requested(&self) -> bool {
        self.is_stop_requested.load(Ordering::Relaxed)
    }
    /// Returns whether a reload was requested, and clears the request.
    pub fn take_reload_request(&self) -> bool {
        self.is_reload_requested.swap(false, Ordering::Relaxed)
    }
}
