//! The decisions on the drill's wire: batches on standard input, replies on standard output.
#![forbid(unsafe_code)]

use chalkdeck_simulator_adapter::wire::Drill;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut drill = Drill::default();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(drill.finish()?);
        }
        if let Some(reply) = drill.line(line.trim_end_matches(['\n', '\r']))? {
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
