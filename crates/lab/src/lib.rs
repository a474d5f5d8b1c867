//! The laboratory: stand-ins for the counter and the servers, a load tool, scripted days and their audit.
#![forbid(unsafe_code)]

pub mod adds;
pub mod asks;
pub mod audit;
pub mod cli;
pub mod control;
pub mod counter;
pub mod counting;
pub mod day;
pub mod demo;
pub mod farm;
pub mod flood;
pub mod library;
pub mod load;
pub mod log;
pub mod measure;
pub mod model;
pub mod plot;
pub mod process;
pub mod reconnect;
pub mod replay;
pub mod report;
pub mod returns;
pub mod timeline;
