//! Runs the decision engine on the operators' simulator: reads batches of events from standard input
//! and writes replies to standard output.
#![forbid(unsafe_code)]

use chalkdeck_simulator_adapter::Adapter;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut adapter = Adapter::default();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(adapter.finish()?);
        }
        if let Some(reply) = adapter.handle_line(line.trim_end_matches(['\n', '\r']))? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chalkdeck-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
