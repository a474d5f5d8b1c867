//! The public handle of a client.

use crate::call::{Call, CallHandle, Reply, TooManyCalls};
use crate::command::{Command, CommandSender};
use crate::core::{CallId, ClientCore, Outcome};
use crate::driver::Driver;
use crate::metrics::{Metrics, Stats};
use crate::settings::{Settings, SettingsError};
use crate::stream::{Stream, StreamEvent, StreamState};
use chalkdeck_net::clock::Clock;
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::Engine;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, sync_channel};
use std::sync::Arc;
use std::thread::JoinHandle;

/// The status message of calls that end because the client's thread has ended.
pub(crate) const CLIENT_ENDED: &str = "the client ended";

/// A client cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings are inconsistent.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The event loop or its thread could not be created.
    #[error("cannot start the client's event loop: {0}")]
    Io(#[from] std::io::Error),
}

/// A client of a fleet of gateways. One thread handles all calls; it ends when the client is dropped.
pub struct Client {
    commands: Arc<CommandSender>,
    next_call: AtomicU64,
    /// The number of open calls. Its limit also bounds the channel to the client's thread.
    open_calls: Arc<AtomicUsize>,
    max_open_calls: usize,
    metrics: Arc<Metrics>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    /// Starts a client.
    ///
    /// # Errors
    ///
    /// The settings are inconsistent, or the operating system cannot create the event loop or the thread.
    pub fn start(settings: Settings, gateways: Vec<SocketAddr>) -> Result<Client, StartError> {
        Client::start_with_clock(settings, gateways, Clock::start())
    }

    /// Starts a client with the given clock.
    ///
    /// # Errors
    ///
    /// See [`Client::start`].
    pub fn start_with_clock(
        settings: Settings,
        gateways: Vec<SocketAddr>,
        clock: Clock,
    ) -> Result<Client, StartError> {
        let max_open_calls = settings
            .max_pending
            .saturating_add(settings.max_in_flight_per_gateway);
        let core = ClientCore::new(settings)?;
        let engine = Engine::with_clock(clock)?;
        let waker = engine.waker()?;
        let (command_sender, commands) = channel();
        let mut driver = Driver::new(core, engine, commands);
        let metrics = driver.metrics();
        let thread = std::thread::Builder::new()
            .name("chalkdeck-client".into())
            .spawn(move || driver.run())?;
        let client = Client {
            commands: Arc::new(CommandSender::new(command_sender, waker)),
            next_call: AtomicU64::new(1),
            open_calls: Arc::default(),
            max_open_calls,
            metrics,
            thread: Some(thread),
        };
        client.set_gateways(gateways);
        Ok(client)
    }

    /// Starts a client with the gateways listed in a file, which is read again when it changes. It has one `ip:port` per line,
    /// and `#` starts a comment. If the file cannot be read or has an invalid line, the error is logged and the last valid list
    /// stays in use.
    ///
    /// # Errors
    ///
    /// See [`Client::start`].
    pub fn start_with_gateway_file(
        settings: Settings,
        file: PathBuf,
    ) -> Result<Client, StartError> {
        let client = Client::start(settings, Vec::new())?;
        let watch = FileWatch::new(file);
        client.commands.send(Command::WatchGatewayFile { watch });
        Ok(client)
    }

    /// Replaces the list of gateways.
    pub fn set_gateways(&self, addresses: Vec<SocketAddr>) {
        self.commands.send(Command::SetGateways { addresses });
    }

    /// Statistics since the start of the client.
    pub fn stats(&self) -> Stats {
        self.metrics.stats()
    }

    /// Registers the client's metrics in the program's registry, with the prefix `chalkdeck_client`.
    pub fn register_metrics(&self, registry: &mut prometheus_client::registry::Registry) {
        self.metrics.register(registry);
    }

    /// Starts a call. `on_reply` runs once, on the client's thread, and must not block. If too many calls are open, it runs at
    /// once, on the caller's thread, with [`Outcome::TooManyCalls`].
    pub fn start_call(
        &self,
        call: Call,
        on_reply: impl FnOnce(Reply) + Send + 'static,
    ) -> CallHandle {
        if self.has_too_many_calls() {
            let status_message = TooManyCalls.to_string();
            on_reply(Reply::without_attempt(
                Outcome::TooManyCalls,
                None,
                status_message,
            ));
            // No call has this id, so the handle has no effect.
            return self.call_handle(CallId(0));
        }
        self.start_call_unchecked(call, on_reply)
    }

    /// Starts a call like [`Client::start_call`], but returns an error instead of running `on_reply` if too many calls are open.
    ///
    /// # Errors
    ///
    /// Too many calls are open.
    pub fn try_start_call(
        &self,
        call: Call,
        on_reply: impl FnOnce(Reply) + Send + 'static,
    ) -> Result<CallHandle, TooManyCalls> {
        if self.has_too_many_calls() {
            return Err(TooManyCalls);
        }
        Ok(self.start_call_unchecked(call, on_reply))
    }

    /// Opens a stream and sends its first message. `on_event` runs on the client's thread and must not block. The timeout of
    /// the call applies to the whole stream.
    ///
    /// # Errors
    ///
    /// Too many calls are open.
    pub fn open_stream(
        &self,
        call: Call,
        mut on_event: impl FnMut(StreamEvent) + Send + 'static,
    ) -> Result<Stream, TooManyCalls> {
        if self.has_too_many_calls() {
            return Err(TooManyCalls);
        }
        let open_calls = self.count_open_call();
        let on_event = move |event: StreamEvent| {
            if matches!(event, StreamEvent::Ended(_)) {
                open_calls.fetch_sub(1, Ordering::Relaxed);
            }
            on_event(event);
        };
        let id = self.next_call_id();
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let stream = StreamState::new(Box::new(on_event), queued_bytes.clone());
        self.commands.send(Command::OpenStream { id, call, stream });
        Ok(Stream {
            commands: self.commands.clone(),
            call: id,
            queued_bytes,
        })
    }

    /// Makes a call and blocks until its reply, at most for the call's timeout.
    pub fn call(&self, call: Call) -> Reply {
        let (reply_sender, reply) = sync_channel(1);
        self.start_call(call, move |reply| {
            // The receiver is alive: it waits below.
            let _ = reply_sender.send(reply);
        });
        reply
            .recv()
            .unwrap_or_else(|_| Reply::without_attempt(Outcome::Cancelled, None, CLIENT_ENDED))
    }

    fn has_too_many_calls(&self) -> bool {
        self.open_calls.load(Ordering::Relaxed) >= self.max_open_calls
    }

    /// Counts a new open call, and returns the counter to decrement when it ends.
    fn count_open_call(&self) -> Arc<AtomicUsize> {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        self.open_calls.clone()
    }

    fn next_call_id(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    fn call_handle(&self, call: CallId) -> CallHandle {
        CallHandle {
            commands: self.commands.clone(),
            call,
        }
    }

    fn start_call_unchecked(
        &self,
        call: Call,
        on_reply: impl FnOnce(Reply) + Send + 'static,
    ) -> CallHandle {
        let open_calls = self.count_open_call();
        let on_reply = Box::new(move |reply| {
            open_calls.fetch_sub(1, Ordering::Relaxed);
            on_reply(reply);
        });
        let id = self.next_call_id();
        self.commands
            .send(Command::StartCall { id, call, on_reply });
        self.call_handle(id)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
