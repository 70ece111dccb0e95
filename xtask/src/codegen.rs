//! Makes the rpc code from the protocol definition, without an outside compiler.

use std::fs;
use std::path::{Path, PathBuf};

use quick_error::ResultExt;

use crate::error::ChoreError;

const PROTO_FILE: &str = "heatherweir.proto";

/// Writes the generated code into the `rpc` crate.
pub fn write() -> Result<(), ChoreError> {
    let rpc_dir = workspace_root().join("crates/rpc");
    let target = rpc_dir.join("src/generated.rs");
    let text = generate(&rpc_dir)?;
    fs::write(&target, text).context(target.as_path())?;
    Ok(())
}

/// Fails if the committed code is not what the definition makes.
pub fn check() -> Result<(), ChoreError> {
    let rpc_dir = workspace_root().join("crates/rpc");
    let target = rpc_dir.join("src/generated.rs");
    let committed = fs::read_to_string(&target).context(target.as_path())?;
    match committed == generate(&rpc_dir)? {
        true => Ok(()),
        false => Err(ChoreError::Stale(target)),
    }
}

fn generate(rpc_dir: &Path) -> Result<String, ChoreError> {
    let proto_dir = rpc_dir.join("proto");
    let descriptors = protox::compile([proto_dir.join(PROTO_FILE)], [&proto_dir])?;
    let out_dir = workspace_root().join("target/codegen");
    fs::create_dir_all(&out_dir).context(out_dir.as_path())?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .bytes(".")
        .compile_fds(descriptors)
        .context(out_dir.as_path())?;
    let made = out_dir.join("heatherweir.v1.rs");
    let text = fs::read_to_string(&made).context(made.as_path())?;
    Ok(text)
}

/// Returns the root folder of the workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
