//! Looks at what gateways say of sites while a day is played, and writes it down.

use crate::common::control;
use crate::common::event_log::{Entry, EventLog};
use chalkdeck_net::clock::monotonic_micros;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often each gateway is asked.
const EACH: Duration = Duration::from_millis(200);

/// Threads that ask, one for each gateway; a stalled one holds up nobody.
pub struct Watch {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Begins to look; notes go to `path` as `sites` with the gateway's number and its answer.
    pub fn start(admins: Vec<SocketAddr>, path: &Path) -> std::io::Result<Watch> {
        let log = Arc::new(Mutex::new(EventLog::create(Some(path))?));
        let stop = Arc::new(AtomicBool::new(false));
        let threads = admins.into_iter().enumerate().map(|(gateway, admin)| {
            let (log, stop) = (log.clone(), stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(text) = control::get(admin, "/sites") {
                        let note = Entry::Note {
                            t: monotonic_micros(),
                            what: "sites".into(),
                            target: format!("{gateway} {text}"),
                        };
                        log.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .append(&note);
                    }
                    std::thread::sleep(EACH);
                }
            })
        });
        Ok(Watch {
            threads: threads.collect(),
            stop,
        })
    }

    /// Ends it; the notes are in the file then.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| drop(t.join()));
    }
}
