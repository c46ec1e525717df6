//! `cargo soak`: the fault soak.

fn main() {}
