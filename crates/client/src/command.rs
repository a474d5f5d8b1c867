//! Commands that the program's threads send to the client's thread.

use crate::call::{Call, Reply};
use crate::core::CallId;
use crate::stream::StreamState;
use bytes::Bytes;
use chalkdeck_net::engine::LoopWaker;
use chalkdeck_net::file_watch::FileWatch;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;

/// A callback that receives the reply to a call.
pub(crate) type ReplyCallback = Box<dyn FnOnce(Reply) + Send>;

/// A command for the client's thread.
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
    /// Send another message on a stream.
    SendMessage { call: CallId, message: Bytes },
    /// Close the sending side of a stream.
    FinishStream { call: CallId },
    /// Cancel a call or stream.
    Cancel { call: CallId },
    /// Replace the list of gateways.
    SetGateways { addresses: Vec<SocketAddr> },
    /// Read the list of gateways from a file, and again when the file changes.
    WatchGatewayFile { watch: FileWatch },
    /// Stop the thread.
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
        // If the thread has ended, all its calls are complete and the command has no effect.
        if self.commands.send(command).is_ok() {
            let _ = self.waker.wake();
        }
    }
}
