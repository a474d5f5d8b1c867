//! Signals as flags that a loop looks at.

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
    /// Takes over SIGTERM and SIGINT (stop) and SIGHUP (reload).
    pub fn take() -> std::io::Result<Signals> {
        let signals = Signals::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())?;
        }
        signal_hook::flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }
    /// Asks to stop as a signal would.
    pub fn ask_stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
    /// A stop was asked for.
    pub fn stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
    /// A reload was asked for since the last look.
    pub fn reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
