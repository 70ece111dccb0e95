//! Checks conventions of the source code that neither rustfmt nor Clippy covers.

use std::fs;
use std::path::{Path, PathBuf};

use quick_error::ResultExt;

use crate::codegen::workspace_root;
use crate::error::TaskError;

const MAX_FILE_LINES: usize = 600;
/// Files that may exceed [`MAX_FILE_LINES`], each with the reason.
const LONG_FILE_EXCEPTIONS: &[LongFileException] = &[
    LongFileException { path: "crates/rpc/src/generated.rs", _reason: "generated" },
    LongFileException {
        path: "crates/consensus/src/raft.rs",
        _reason: "one state machine, one file",
    },
];
/// Source folders on the request path, where dynamic dispatch is not allowed.
const REQUEST_PATH_DIRS: &[&str] =
    &["crates/mesh/src", "crates/node/src", "crates/policy/src", "platform/src"];
/// Folder of the adapter to the platform, the only one that may use the names of the platform.
const ADAPTER_DIR: &str = "platform/";
/// File with the names that are specific to the platform, one per line, in lower case.
const PLATFORM_NAMES_FILE: &str = "platform/names.txt";
/// Macros that mark unfinished code.
const STUB_MACROS: &[&str] = &["todo", "unimplemented"];
/// Types that are not allowed as the error type of a `Result`.
const STRING_ERROR_TYPES: &[&str] = &["String", "&str"];
/// Declarations of durations as integers whose names have no suffix for the unit.
const FIELDS_WITHOUT_UNIT: &[&str] =
    &["timeout: u64", "deadline: u64", "latency: u64", "interval: u64", "delay: u64", "age: u64"];

/// File that may exceed [`MAX_FILE_LINES`].
struct LongFileException {
    path: &'static str,
    _reason: &'static str,
}

/// Checks all sources and returns an error that lists every violation.
pub fn check() -> Result<(), TaskError> {
    let root = workspace_root();
    let names_path = root.join(PLATFORM_NAMES_FILE);
    let names = fs::read_to_string(&names_path).context(names_path.as_path())?;
    let platform_names: Vec<&str> = names.lines().collect();
    let mut violations = Vec::new();
    if platform_names.is_empty() {
        violations.push(format!("{PLATFORM_NAMES_FILE}: no names"));
    }
    for dir in ["crates", "platform", "xtask"] {
        for path in rust_files(&root.join(dir))? {
            let text = fs::read_to_string(&path).context(path.as_path())?;
            let name = path.strip_prefix(&root).unwrap_or(&path).display().to_string();
            violations.extend(file_violations(&name, &text, &platform_names));
        }
    }
    match violations.is_empty() {
        true => Ok(()),
        false => Err(TaskError::Check(format!("tidy\n{}", violations.join("\n")))),
    }
}

/// Returns the violations in one file. Generated files are checked for length only.
fn file_violations(name: &str, text: &str, platform_names: &[&str]) -> Vec<String> {
    let mut violations = Vec::new();
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES && !LONG_FILE_EXCEPTIONS.iter().any(|file| file.path == name) {
        violations.push(format!("{name}: {lines} lines, the limit is {MAX_FILE_LINES}"));
    }
    if name.ends_with("generated.rs") {
        return violations;
    }
    let is_test = name.contains("/tests/");
    if !is_test && !text.starts_with("//!") {
        violations.push(format!("{name}: missing module documentation"));
    }
    let is_on_request_path = REQUEST_PATH_DIRS.iter().any(|dir| name.starts_with(dir));
    for (index, line) in text.lines().enumerate() {
        let location = format!("{name}:{}", index + 1);
        let code = line.split("//").next().unwrap_or_default();
        let has_platform_name =
            !name.starts_with(ADAPTER_DIR) && contains_platform_name(line, platform_names);
        if has_platform_name {
            violations.push(format!("{location}: platform name outside {ADAPTER_DIR}"));
        }
        if is_on_request_path && code.contains("dyn ") {
            violations.push(format!("{location}: dynamic dispatch on the request path"));
        }
        let has_string_error =
            STRING_ERROR_TYPES.iter().any(|name| code.contains(&format!(", {name}>")));
        if code.contains("Result<") && has_string_error {
            violations.push(format!("{location}: string used as error type"));
        }
        if STUB_MACROS.iter().any(|name| code.contains(&format!("{name}!("))) {
            violations.push(format!("{location}: macro for unfinished code"));
        }
        if FIELDS_WITHOUT_UNIT.iter().any(|field| code.trim_start().starts_with(field)) {
            violations.push(format!("{location}: field name without a unit"));
        }
    }
    violations
}

/// Returns whether a line contains a name of the platform, in upper or lower case.
///
/// The header `heatherweir-deadline-ms` is exempt, because it contains such a name.
fn contains_platform_name(line: &str, platform_names: &[&str]) -> bool {
    let line = line.to_ascii_lowercase().replace("heatherweir-deadline-ms", "");
    platform_names.iter().any(|name| line.contains(name))
}

/// Returns the Rust files of a folder and its subfolders.
fn rust_files(dir: &Path) -> Result<Vec<PathBuf>, TaskError> {
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
