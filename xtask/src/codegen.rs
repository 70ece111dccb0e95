//! Generates the RPC code from the protocol definition, without an external `protoc`.

use std::fs;
use std::path::{Path, PathBuf};

use quick_error::ResultExt;

use crate::error::TaskError;

const PROTO_FILE: &str = "heatherweir.proto";

/// Generates the code and writes it into the `rpc` crate.
pub fn write() -> Result<(), TaskError> {
    let rpc_dir = workspace_root().join("crates/rpc");
    let committed_path = rpc_dir.join("src/generated.rs");
    let text = generate(&rpc_dir)?;
    fs::write(&committed_path, text).context(committed_path.as_path())?;
    Ok(())
}

/// Returns an error if the committed code differs from the code that the definition generates.
pub fn check() -> Result<(), TaskError> {
    let rpc_dir = workspace_root().join("crates/rpc");
    let committed_path = rpc_dir.join("src/generated.rs");
    let committed = fs::read_to_string(&committed_path).context(committed_path.as_path())?;
    match committed == generate(&rpc_dir)? {
        true => Ok(()),
        false => Err(TaskError::Stale(committed_path)),
    }
}

/// Returns the code generated from the definition in the folder of the `rpc` crate.
fn generate(rpc_dir: &Path) -> Result<String, TaskError> {
    let proto_dir = rpc_dir.join("proto");
    let descriptors = protox::compile([proto_dir.join(PROTO_FILE)], [&proto_dir])?;
    let out_dir = workspace_root().join("target/codegen");
    fs::create_dir_all(&out_dir).context(out_dir.as_path())?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .bytes(".")
        .compile_fds(descriptors)
        .context(out_dir.as_path())?;
    let generated_path = out_dir.join("heatherweir.v1.rs");
    let text = fs::read_to_string(&generated_path).context(generated_path.as_path())?;
    Ok(text)
}

/// Returns the root folder of the workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
