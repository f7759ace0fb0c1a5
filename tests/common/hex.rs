//! Fixture lines of recorded bytes.

/// Formats a fixture line: a name and the bytes in hex.
pub fn hex_line(name: &str, bytes: &[u8]) -> String {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{name} {hex}")
}
