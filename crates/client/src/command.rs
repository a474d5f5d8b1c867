//! Commands from the program's threads to the client's thread.

use crate::call::{Call, Reply};
use crate::core::CallId;
use crate::stream::StreamState;
use bytes::Bytes;
use chalkdeck_net::engine::LoopWaker;
use chalkdeck_net::file_watch::FileWatch;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;

/// Runs once, with the reply to a call.
pub(crate) type ReplyCallback = Box<dyn FnOnce(Reply) + Send>;

/// What the client's thread is asked to do.
pub(crate) enum Command {
    /// Start a unary call.
    StartCall {
        id: CallId,
        call: Call,
        on_reply: ReplyCallback,
    },
    /// Open a stream.
    OpenStream {
        id: CallId,
        call: Call,
        stream: StreamState,
    },
    /// Send a further message of a stream.
    SendMessage { call: CallId, message: Bytes },
    /// End the messages of a stream.
    FinishStream { call: CallId },
    /// Cancel a call or stream.
    Cancel { call: CallId },
    /// Replace the list of gateways.
    SetGateways { addresses: Vec<SocketAddr> },
    /// Read the list of gateways from a file.
    WatchGatewayFile { watch: FileWatch },
    /// End the thread.
    Stop,
}

/// Sends commands and wakes the client's thread.
pub(crate) struct CommandSender {
    commands: Sender<Command>,
    waker: LoopWaker,
}

impl CommandSender {
    pub(crate) fn new(commands: Sender<Command>, waker: LoopWaker) -> CommandSender {
        CommandSender { commands, waker }
    }

    pub(crate) fn send(&self, command: Command) {
        // A thread that has ended has completed all its calls.
        if self.commands.send(command).is_ok() {
            let _ = self.waker.wake();
        }
    }
}
