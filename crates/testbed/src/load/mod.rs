//! Load: plain gRPC clients, naive ones, and the client library.

pub mod calls;
pub mod command;
pub mod library;
