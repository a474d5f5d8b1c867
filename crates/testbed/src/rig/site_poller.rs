//! Polls the gateways' view of the sites while a day runs, and logs it.

use crate::common::control;
use crate::common::event_log::{Entry, EventLog};
use chalkdeck_net::clock::monotonic_micros;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often each gateway is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Polls each gateway from a thread of its own, so that a stalled gateway doesn't delay the others.
pub struct SitePoller {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SitePoller {
    /// Starts to poll. Each response is logged to `path` as a note `sites` with the gateway's number and the response.
    pub fn start(admins: Vec<SocketAddr>, path: &Path) -> std::io::Result<SitePoller> {
        let log = Arc::new(Mutex::new(EventLog::create(Some(path))?));
        let stop = Arc::new(AtomicBool::new(false));
        let threads = admins.into_iter().enumerate().map(|(gateway, admin)| {
            let (log, stop) = (log.clone(), stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(response) = control::get(admin, "/sites") {
                        let note = Entry::Note {
                            t: monotonic_micros(),
                            what: "sites".into(),
                            target: format!("{gateway} {response}"),
                        };
                        log.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .append(&note);
                    }
                    std::thread::sleep(POLL_INTERVAL);
                }
            })
        });
        Ok(SitePoller {
            threads: threads.collect(),
            stop,
        })
    }

    /// Stops the threads. When this returns, the file holds all notes.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}
