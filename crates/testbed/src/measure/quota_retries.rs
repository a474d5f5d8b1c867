//! Measures callers that request more than their quota and retry exactly after the delay that they are given: how many of
//! these retries are granted, and how evenly customers of the same plan are treated. Uses RESP and a single gateway.

use crate::common::process::Program;
use crate::rig::demo;
use crate::rig::fleet::{any_port, Fleet};
use anyhow::{bail, Context};
use clap::Args;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct ReturnsArgs {
    #[arg(long, default_value_t = 12.0)]
    pub seconds: f64,
    /// Number of callers for each of eight customers
    #[arg(long, default_value_t = 4)]
    pub callers: usize,
    /// Requests per second of each caller while its requests are granted
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Customers of the demo, by plan.
const CUSTOMERS: [&str; 8] = [
    "seed-0",
    "seed-1",
    "seed-2",
    "seed-3",
    "harvest-0",
    "harvest-1",
    "harvest-2",
    "harvest-3",
];

#[derive(Default, Clone, Copy)]
struct CallerStats {
    requests: u64,
    granted: u64,
    retries: u64,
    granted_retries: u64,
}

/// The reply to `CHALK.TAKE`: a ticket, or the delay after which to retry.
enum TakeReply {
    Granted(String),
    RetryAfter(Duration),
}

struct Caller {
    reader: BufReader<TcpStream>,
    customer: &'static str,
}

impl Caller {
    fn new(address: SocketAddr, customer: &'static str) -> anyhow::Result<Caller> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Caller {
            reader: BufReader::new(stream),
            customer,
        })
    }
    fn read_line(&mut self) -> anyhow::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            bail!("the gateway closed the connection");
        }
        Ok(line.trim_end().to_string())
    }
    fn take(&mut self) -> anyhow::Result<TakeReply> {
        let command = format!("CHALK.TAKE {}\r\n", self.customer);
        self.reader.get_mut().write_all(command.as_bytes())?;
        let head = self.read_line()?;
        if head != "*3" {
            bail!("unexpected answer: {head}");
        }
        let is_granted = self.read_line()? == ":1";
        let second_line = self.read_line()?;
        let ticket = if is_granted {
            self.read_line()?
        } else {
            second_line
        };
        let last_line = self.read_line()?;
        if is_granted {
            return Ok(TakeReply::Granted(ticket));
        }
        let ms = last_line
            .trim_start_matches(':')
            .parse()
            .context("expected milliseconds")?;
        Ok(TakeReply::RetryAfter(Duration::from_millis(ms)))
    }
    fn give(&mut self, ticket: &str) -> anyhow::Result<()> {
        self.reader
            .get_mut()
            .write_all(format!("CHALK.GIVE {ticket}\r\n").as_bytes())?;
        self.read_line().map(drop)
    }

    fn run(mut self, seconds: f64, interval: Duration) -> anyhow::Result<CallerStats> {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        let (mut stats, mut is_retry) = (CallerStats::default(), false);
        while Instant::now() < end {
            stats.requests += 1;
            stats.retries += u64::from(is_retry);
            match self.take()? {
                TakeReply::Granted(ticket) => {
                    stats.granted += 1;
                    stats.granted_retries += u64::from(is_retry);
                    is_retry = false;
                    self.give(&ticket)?;
                    std::thread::sleep(interval);
                }
                TakeReply::RetryAfter(delay) => {
                    is_retry = true;
                    std::thread::sleep(delay);
                }
            }
        }
        Ok(stats)
    }
}

/// Runs all callers and prints the results.
pub fn run(program: Program, args: &ReturnsArgs) -> anyhow::Result<()> {
    let mut day = demo::day()?;
    day.gateways = 1;
    let fleet = Fleet::start(program, day, &args.dir, any_port(), None)?;
    let address = fleet
        .gateway_process(0)
        .context("expected a gateway")?
        .address("resp")?;
    let interval = Duration::from_secs_f64(1.0 / args.rate);
    let mut by_customer = Vec::new();
    let threads: Vec<_> = CUSTOMERS
        .iter()
        .flat_map(|customer| (0..args.callers).map(move |_| *customer))
        .map(|customer| {
            let caller = Caller::new(address, customer)?;
            let seconds = args.seconds;
            Ok((
                customer,
                std::thread::spawn(move || {
                    caller.run(seconds, interval).map_err(|e| e.to_string())
                }),
            ))
        })
        .collect::<anyhow::Result<_>>()?;
    for (customer, thread) in threads {
        let stats = thread
            .join()
            .map_err(|_| anyhow::anyhow!("a caller panicked"))?;
        by_customer.push((customer, stats.map_err(|e| anyhow::anyhow!(e))?));
    }
    let sum = |value: fn(&CallerStats) -> u64| by_customer.iter().map(|c| value(&c.1)).sum::<u64>();
    println!(
        "{} callers, each {} times a second, {} s: {} of {} asks granted; of {} that came back when told {} were granted ({:.3})",
        by_customer.len(),
        args.rate,
        args.seconds,
        sum(|s| s.granted),
        sum(|s| s.requests),
        sum(|s| s.retries),
        sum(|s| s.granted_retries),
        sum(|s| s.granted_retries) as f64 / sum(|s| s.retries).max(1) as f64
    );
    for plan in ["seed", "harvest"] {
        let granted_to = |name: &str| {
            by_customer
                .iter()
                .filter(|c| c.0 == name)
                .map(|c| c.1.granted)
                .sum::<u64>() as f64
        };
        let granted: Vec<f64> = CUSTOMERS
            .iter()
            .filter(|c| c.starts_with(plan))
            .map(|c| granted_to(c))
            .collect();
        let sum_of_squares: f64 = granted.iter().map(|s| s * s).sum();
        let jain_index =
            granted.iter().sum::<f64>().powi(2) / (granted.len() as f64 * sum_of_squares.max(1e-9));
        println!(
            "  {plan}: granted a second and customer {:.1}, Jain's index {jain_index:.4}",
            granted.iter().sum::<f64>() / granted.len() as f64 / args.seconds
        );
    }
    Ok(())
}
