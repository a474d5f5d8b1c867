//! A hash of numbers that is equal at every gateway.

/// Spreads the bits of a number over all 64 bits (the finaliser of SplitMix64).
pub(crate) fn mix_bits(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
