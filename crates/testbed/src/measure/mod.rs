//! Measurement side by side, one tool a file.

pub mod adds;
pub mod asks;
pub mod flood;
pub mod gateway;
pub mod reconnect;
pub mod returns;
pub mod sites;
