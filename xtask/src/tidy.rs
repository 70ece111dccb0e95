//! Checks of the source text that neither the formatter nor the linter makes.

use std::fs;
use std::path::{Path, PathBuf};

use quick_error::ResultExt;

use crate::codegen::workspace_root;
use crate::error::ChoreError;

const MAX_FILE_LINES: usize = 600;
/// Files over the limit, each with its reason.
const LONG_FILES: &[LongFile] = &[
    LongFile { path: "crates/rpc/src/generated.rs", _reason: "generated" },
    LongFile { path: "crates/consensus/src/raft.rs", _reason: "one state machine, one file" },
];
/// Crates whose sources are on the request path.
const REQUEST_PATH_DIRS: &[&str] =
    &["crates/mesh/src", "crates/node/src", "crates/policy/src", "platform/src"];
/// Folder of the adapter, the only place for the names below.
const ADAPTER_DIR: &str = "platform/";
/// File with the names that only the users' platform uses, one a line and in lower case.
const PLATFORM_NAMES_FILE: &str = "platform/names.txt";
/// Macros that stand for missing code.
const STUB_MACROS: &[&str] = &["todo", "unimplemented"];
/// Types that carry no cause of a failure.
const BARE_ERRORS: &[&str] = &["String", "&str"];
/// Types of time and size whose fields carry a unit.
const UNITLESS_FIELDS: &[&str] =
    &["timeout: u64", "deadline: u64", "latency: u64", "interval: u64", "delay: u64", "age: u64"];

struct LongFile {
    path: &'static str,
    _reason: &'static str,
}

/// Fails with every fault that was found.
pub fn check() -> Result<(), ChoreError> {
    let root = workspace_root();
    let names_path = root.join(PLATFORM_NAMES_FILE);
    let names = fs::read_to_string(&names_path).context(names_path.as_path())?;
    let platform_names: Vec<&str> = names.lines().collect();
    let mut faults = Vec::new();
    if platform_names.is_empty() {
        faults.push(format!("{PLATFORM_NAMES_FILE}: no names"));
    }
    for dir in ["crates", "platform", "xtask"] {
        for path in rust_files(&root.join(dir))? {
            let text = fs::read_to_string(&path).context(path.as_path())?;
            let name = path.strip_prefix(&root).unwrap_or(&path).display().to_string();
            faults.extend(file_faults(&name, &text, &platform_names));
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(ChoreError::Check(format!("tidy\n{}", faults.join("\n")))),
    }
}

fn file_faults(name: &str, text: &str, platform_names: &[&str]) -> Vec<String> {
    let mut faults = Vec::new();
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES && !LONG_FILES.iter().any(|file| file.path == name) {
        faults.push(format!("{name}: {lines} lines, at most {MAX_FILE_LINES}"));
    }
    if name.ends_with("generated.rs") {
        return faults;
    }
    let is_test = name.contains("/tests/");
    if !is_test && !text.starts_with("//!") {
        faults.push(format!("{name}: no module documentation"));
    }
    let is_on_request_path = REQUEST_PATH_DIRS.iter().any(|dir| name.starts_with(dir));
    for (index, line) in text.lines().enumerate() {
        let place = format!("{name}:{}", index + 1);
        let code = line.split("//").next().unwrap_or_default();
        let is_foreign = !name.starts_with(ADAPTER_DIR) && has_any(line, platform_names);
        if is_foreign {
            faults.push(format!("{place}: a name of the platform outside {ADAPTER_DIR}"));
        }
        if is_on_request_path && code.contains("dyn ") {
            faults.push(format!("{place}: dyn on the request path"));
        }
        let has_bare_error = BARE_ERRORS.iter().any(|name| code.contains(&format!(", {name}>")));
        if code.contains("Result<") && has_bare_error {
            faults.push(format!("{place}: a bare string is no error type"));
        }
        if STUB_MACROS.iter().any(|name| code.contains(&format!("{name}!("))) {
            faults.push(format!("{place}: stub"));
        }
        if UNITLESS_FIELDS.iter().any(|field| code.trim_start().starts_with(field)) {
            faults.push(format!("{place}: the field carries no unit"));
        }
    }
    faults
}

fn has_any(line: &str, platform_names: &[&str]) -> bool {
    let line = line.to_ascii_lowercase().replace("heatherweir-deadline-ms", "");
    platform_names.iter().any(|name| line.contains(name))
}

fn rust_files(dir: &Path) -> Result<Vec<PathBuf>, ChoreError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).context(dir)? {
        let path = entry.context(dir)?.path();
        if path.is_dir() {
            files.extend(rust_files(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
