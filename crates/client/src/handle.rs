//! What a program holds of a client: its calls, their handles and ends.

use crate::core::{CallId, Core, Outcome, Repeat, Settings, SettingsError};
use crate::driver::Carrier;
use crate::stats::{Counters, Stats};
use crate::stream::{Stream, StreamEvent};
use bytes::Bytes;
use chalkdeck_net::clock::Clock;
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::grpc::{Code, Deframer};
use chalkdeck_net::{engine::LoopWaker, Engine};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, sync_channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A unary call.
#[derive(Clone, Debug)]
pub struct Call {
    /// `/package.Service/Method`.
    pub path: String,
    /// The message, without its frame.
    pub message: Bytes,
    /// Further metadata, such as the customer.
    pub metadata: Vec<(String, String)>,
    /// Whether it may go again.
    pub repeat: Repeat,
    /// The key of a keyed call; without one the library makes one of 128 bits.
    pub key: Option<String>,
    /// One deadline for all tries.
    pub timeout: Duration,
}

/// The one end of a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How it ended.
    pub outcome: Outcome,
    /// The status of the last try that had one.
    pub code: Option<Code>,
    /// Its text.
    pub text: String,
    /// The message of an answer.
    pub message: Option<Bytes>,
    /// Tries that were sent.
    pub tries: u32,
}

/// Why a client did not start, or has stopped.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Senseless settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// No poll handle or thread.
    #[error("the client's loop: {0}")]
    Io(#[from] std::io::Error),
}

/// Too many calls wait or are out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many calls are open; let some end first")]
pub struct Full;

pub(crate) type Done = Box<dyn FnOnce(Reply) + Send>;

pub(crate) enum Command {
    Start(CallId, Call, Done),
    Open(CallId, Call, Live),
    Message(CallId, Bytes),
    Finish(CallId),
    Cancel(CallId),
    Gateways(Vec<SocketAddr>),
    Watch(FileWatch),
    Stop,
}

/// A stream's caller, and what is on its way.
pub(crate) struct Live {
    pub(crate) hear: Box<dyn FnMut(StreamEvent) + Send>,
    pub(crate) queued: Arc<AtomicUsize>,
    pub(crate) deframer: Deframer,
    /// Messages that came while no try was out; bounded by `queued`.
    pub(crate) early: Vec<Bytes>,
    /// The caller sends no more.
    pub(crate) ended: bool,
}

pub(crate) struct Door {
    commands: Sender<Command>,
    waker: LoopWaker,
}

impl Door {
    pub(crate) fn tell(&self, command: Command) {
        // A loop that has ended has answered all its calls.
        if self.commands.send(command).is_ok() {
            let _ = self.waker.wake();
        }
    }
}

/// A client of a fleet. Cheap to share; its loop ends when the last handle to it is dropped.
pub struct Client {
    door: Arc<Door>,
    next: AtomicU64,
    /// Calls that have not ended; bounded, so that the way to the loop is.
    open: Arc<AtomicUsize>,
    most: usize,
    stats: Arc<Counters>,
    thread: Option<JoinHandle<()>>,
}

/// A call under way. Dropping it leaves the call alone.
#[derive(Clone)]
pub struct Handle {
    door: Arc<Door>,
    call: CallId,
}

impl Handle {
    /// Calls it off: its callback hears `Cancelled`, unless it has ended.
    pub fn cancel(&self) {
        self.door.tell(Command::Cancel(self.call));
    }
}

impl Client {
    /// Starts the loop. Errors: senseless settings, no thread.
    pub fn start(settings: Settings, gateways: Vec<SocketAddr>) -> Result<Client, StartError> {
        Client::start_with_clock(settings, gateways, Clock::start())
    }

    /// The same with a clock of the caller's.
    pub fn start_with_clock(
        settings: Settings,
        gateways: Vec<SocketAddr>,
        clock: Clock,
    ) -> Result<Client, StartError> {
        let core = Core::new(settings.clone())?;
        let engine = Engine::with_clock(clock)?;
        let waker = engine.waker()?;
        let (commands, inbox) = channel();
        let mut carrier = Carrier::new(core, engine, inbox, &settings);
        let stats = carrier.stats.clone();
        let thread = std::thread::Builder::new()
            .name("chalkdeck-client".into())
            .spawn(move || carrier.run())?;
        let door = Arc::new(Door { commands, waker });
        let most = settings.queue.saturating_add(settings.outstanding);
        let (next, open) = (AtomicU64::new(1), Arc::default());
        let client = Client {
            door,
            next,
            open,
            most,
            stats,
            thread: Some(thread),
        };
        client.set_gateways(gateways);
        Ok(client)
    }

    /// The same with the gateways of a file, which is read again when it changes: one `ip:port` a line, `#` begins a comment.
    /// A file that cannot be read or has a wrong line leaves the last good list in force and is logged.
    pub fn start_with_file(
        settings: Settings,
        file: std::path::PathBuf,
    ) -> Result<Client, StartError> {
        let client = Client::start(settings, Vec::new())?;
        client.door.tell(Command::Watch(FileWatch::new(file)));
        Ok(client)
    }

    /// Replaces the list of gateways.
    pub fn set_gateways(&self, gateways: Vec<SocketAddr>) {
        self.door.tell(Command::Gateways(gateways));
    }

    /// What the client has done so far.
    pub fn stats(&self) -> Stats {
        self.stats.read()
    }

    /// Adds the client's metrics, by the prefix `chalkdeck_client`, to a registry that the program exports.
    pub fn register(&self, registry: &mut prometheus_client::registry::Registry) {
        self.stats.register(registry);
    }

    /// Starts a call; `done` runs once, on the client's thread, and must not block. With too many calls open it hears
    /// `Full` at once, on this thread.
    pub fn begin(&self, call: Call, done: impl FnOnce(Reply) + Send + 'static) -> Handle {
        if self.is_full() {
            done(Reply {
                outcome: Outcome::Full,
                code: None,
                text: Full.to_string(),
                message: None,
                tries: 0,
            });
            return Handle {
                door: self.door.clone(),
                call: CallId(0),
            };
        }
        self.start_call(call, done)
    }

    /// The same, but says at once that too many calls are open; `done` is not run then.
    pub fn try_begin(
        &self,
        call: Call,
        done: impl FnOnce(Reply) + Send + 'static,
    ) -> Result<Handle, Full> {
        if self.is_full() {
            return Err(Full);
        }
        Ok(self.start_call(call, done))
    }

    /// Opens a stream with its first message; `hear` runs on the client's thread and must not block. `timeout` is the whole
    /// stream's. Errors: too many calls are open.
    pub fn open(
        &self,
        call: Call,
        hear: impl FnMut(StreamEvent) + Send + 'static,
    ) -> Result<Stream, Full> {
        if self.is_full() {
            return Err(Full);
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let (open, mut hear) = (self.open.clone(), hear);
        let hear = move |event: StreamEvent| {
            if matches!(event, StreamEvent::End(_)) {
                open.fetch_sub(1, Ordering::Relaxed);
            }
            hear(event);
        };
        let id = CallId(self.next.fetch_add(1, Ordering::Relaxed));
        let queued = Arc::new(AtomicUsize::new(0));
        let live = Live {
            hear: Box::new(hear),
            queued: queued.clone(),
            deframer: Deframer::default(),
            early: Vec::new(),
            ended: false,
        };
        self.door.tell(Command::Open(id, call, live));
        Ok(Stream {
            door: self.door.clone(),
            call: id,
            queued,
        })
    }

    fn is_full(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.most
    }

    fn start_call(&self, call: Call, done: impl FnOnce(Reply) + Send + 'static) -> Handle {
        self.open.fetch_add(1, Ordering::Relaxed);
        let open = self.open.clone();
        let done = move |reply| {
            open.fetch_sub(1, Ordering::Relaxed);
            done(reply);
        };
        let id = CallId(self.next.fetch_add(1, Ordering::Relaxed));
        self.door.tell(Command::Start(id, call, Box::new(done)));
        Handle {
            door: self.door.clone(),
            call: id,
        }
    }

    /// Calls and waits, for the call's timeout at the longest.
    pub fn call(&self, call: Call) -> Reply {
        let (done, wait) = sync_channel(1);
        self.begin(call, move |reply| drop(done.send(reply)));
        let gone = Reply {
            outcome: Outcome::Cancelled,
            code: None,
            text: "the client ended".into(),
            message: None,
            tries: 0,
        };
        wait.recv().unwrap_or(gone)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.door.tell(Command::Stop);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
