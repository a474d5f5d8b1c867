//! Tests of the table that maps caller addresses to regions.

use chalkdeck_access::{RegionError, RegionTable};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

const REGIONS: [&str; 3] = ["east", "west", "north"];

/// A prefix: the bits of its address and its length.
type Prefix = (u32, u8);

fn mask(length: u8) -> u32 {
    if length == 0 {
        0
    } else {
        u32::MAX << (32 - length)
    }
}

fn address(text: &str) -> IpAddr {
    text.parse().expect("the text is an address")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn region_is_that_of_the_longest_matching_prefix(
        nets in prop::collection::btree_map((any::<u32>(), 0u8..=32), 0usize..3, 0..40),
        addresses in prop::collection::vec(any::<u32>(), 20),
    ) {
        let mut prefixes: BTreeMap<Prefix, usize> = BTreeMap::new();
        for ((bits, length), region) in nets {
            prefixes.insert((bits & mask(length), length), region);
        }
        let line = |((bits, length), region): (&Prefix, &usize)| {
            format!("{}/{length} {}", Ipv4Addr::from(*bits), REGIONS[*region])
        };
        let lines: Vec<String> = prefixes.iter().map(line).collect();
        let table = RegionTable::parse(&lines.join("\n")).expect("the table is valid");
        for address in addresses.into_iter().chain(prefixes.keys().map(|(bits, _)| *bits)) {
            let longest = prefixes
                .iter()
                .filter(|((bits, length), _)| address & mask(*length) == *bits)
                .max_by_key(|((_, length), _)| *length);
            let region = longest.map(|(_, region)| REGIONS[*region]);
            prop_assert_eq!(table.region_of(Ipv4Addr::from(address).into()), region);
        }
    }
}

#[test]
fn error_for_an_invalid_table_names_the_line() {
    let cases = [
        (
            "10.0.0.0/8",
            RegionError::InvalidLine {
                line: 1,
                found: "10.0.0.0/8".into(),
            },
        ),
        (
            "# a comment\n10.0.0.0/8 east\n\n10.0.0.1/8 west",
            RegionError::DuplicatePrefix {
                line: 4,
                found: "10.0.0.0/8".into(),
            },
        ),
        (
            "here east",
            RegionError::InvalidLine {
                line: 1,
                found: "here east".into(),
            },
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(RegionTable::parse(text).map(|_| ()), Err(expected));
    }
}

#[test]
fn ipv4_mapped_addresses_have_the_region_of_their_ipv4_address() {
    let text = "10.0.0.0/8 east\n10.1.0.0/16 west # longer prefix\n2001:db8::/32 north";
    let table = RegionTable::parse(text).expect("the table is valid");
    assert_eq!(table.region_of(address("10.1.2.3")), Some("west"));
    assert_eq!(table.region_of(address("::ffff:10.2.2.3")), Some("east"));
    assert_eq!(
        (
            table.region_of(address("2001:db8::1")),
            table.region_of(address("11.0.0.1"))
        ),
        (Some("north"), None)
    );
}
