//! Zone ids, which are the same in every program for a given zone name.

use balancer::ZoneId;

/// The id of a zone: the FNV-1a hash of its name.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    }))
}
