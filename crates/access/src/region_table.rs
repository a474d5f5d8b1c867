//! Regions of callers by the prefixes of their addresses.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// The most prefixes of one table.
const MAX_PREFIXES: usize = 1_000_000;
/// The rest of a line after this is a remark.
const REMARK: char = '#';

/// Why a table is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum RegionError {
    /// A line is not a prefix and a region.
    #[error("line {line}: expected a prefix as 10.0.0.0/8 and a region, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::access::prefix),
        help("one prefix and one region a line, parted by a space; '#' begins a remark")
    )]
    InvalidLine {
        /// The number of the line, from 1.
        line: usize,
        /// The line without its remark.
        found: String,
    },
    /// A prefix is given twice.
    #[error("line {line}: {found} stands twice")]
    #[diagnostic(
        code(chalkdeck::access::prefix_twice),
        help("one region for each prefix; give the part that differs as a longer prefix")
    )]
    DuplicatePrefix {
        /// The number of the second line, from 1.
        line: usize,
        /// The prefix.
        found: String,
    },
    /// The table has too many prefixes.
    #[error("expected at most {MAX_PREFIXES} prefixes")]
    #[diagnostic(
        code(chalkdeck::access::prefixes),
        help("join neighbouring prefixes of one region")
    )]
    TooManyPrefixes,
}

/// A table of address prefixes and their regions.
#[derive(Clone, Debug, Default)]
pub struct RegionTable {
    v4: PrefixMap<Ipv4Net, String>,
    v6: PrefixMap<Ipv6Net, String>,
}

impl RegionTable {
    /// Parses a table with one prefix and its region a line.
    ///
    /// # Errors
    /// A line that is no prefix and region, a prefix that is given twice, or too many prefixes.
    pub fn parse(text: &str) -> Result<RegionTable, RegionError> {
        let mut table = RegionTable::default();
        let mut prefixes = 0;
        for (index, whole_line) in text.lines().enumerate() {
            let line = whole_line.split(REMARK).next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            table.insert_line(index + 1, line)?;
            prefixes += 1;
            if prefixes > MAX_PREFIXES {
                return Err(RegionError::TooManyPrefixes);
            }
        }
        Ok(table)
    }

    fn insert_line(&mut self, number: usize, line: &str) -> Result<(), RegionError> {
        let invalid = || RegionError::InvalidLine {
            line: number,
            found: line.to_string(),
        };
        let (prefix, region) = line.split_once(char::is_whitespace).ok_or_else(invalid)?;
        let prefix: IpNet = prefix.parse().map_err(|_| invalid())?;
        let prefix = prefix.trunc();
        let region = region.trim().to_string();
        let replaced = match prefix {
            IpNet::V4(net) => self.v4.insert(net, region),
            IpNet::V6(net) => self.v6.insert(net, region),
        };
        if replaced.is_some() {
            return Err(RegionError::DuplicatePrefix {
                line: number,
                found: prefix.to_string(),
            });
        }
        Ok(())
    }

    /// The region of an address by its longest prefix; `None` if no prefix contains it.
    pub fn region_of(&self, address: IpAddr) -> Option<&str> {
        match address.to_canonical() {
            IpAddr::V4(address) => {
                let entry = self.v4.get_lpm(&Ipv4Net::from(address));
                entry.map(|(_, region)| region.as_str())
            }
            IpAddr::V6(address) => {
                let entry = self.v6.get_lpm(&Ipv6Net::from(address));
                entry.map(|(_, region)| region.as_str())
            }
        }
    }
}
