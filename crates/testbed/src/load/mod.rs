//! Load generators: plain gRPC clients, with or without naive retries, and the client library.

pub mod command;
pub mod library;
pub mod plain;
