//! The decisions on the operators' simulator: batches on standard input, replies on standard output.
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
        if let Some(reply) = adapter.line(line.trim_end_matches(['\n', '\r']))? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("chalkdeck-drill: {e}");
            ExitCode::FAILURE
        }
    }
}
