//! A hash of integers that gives the same result on every gateway.

/// Mixes the bits of a number into all 64 bits of the result (the finalizer of SplitMix64).
pub(crate) fn mix_bits(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
