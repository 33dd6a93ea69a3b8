//! The arguments of `olivelatchctl`, from which the help and the shell completions are generated. `--help`
//! prints the `///` texts in this file, so they use the terms of the documentation; notes for readers of the
//! code are `//` comments.

use std::ffi::OsString;
use std::io;
use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

const AFTER_HELP: &str = "\
Examples:
  olivelatchctl demo                                 a local cluster, a mixed batch, a controller killed halfway
  olivelatchctl up                                   a local cluster on this machine, until Ctrl-C
  olivelatchctl submit --tasks 10 -- sh -c 'echo $OLIVELATCH_TASK'
  olivelatchctl submit jobs.hcl --wait
  olivelatchctl explain job-000412                   why the job is in its state
  olivelatchctl list --state live --json
  olivelatchctl graph submit examples/billing.hcl --wait
  olivelatchctl config set team/default --limit-cpus 8 --wait
  olivelatchctl scale run examples/scale/small.hcl --out /tmp/small

Exit codes:
  0  success                                 4  rejected: the request is invalid, or can never run
  1  not found, or another failure           5  wait: a job was withdrawn, or a run did not succeed
  2  invalid arguments or files              6  wait: the time limit passed first
  3  no controller could respond in time";

#[derive(Debug, Parser)]
#[command(name = "olivelatchctl", version, about = "Submit, inspect and explain jobs; run a local cluster on one machine", after_help = AFTER_HELP)]
pub struct Cli {
    #[command(flatten)]
    pub global_args: GlobalArgs,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Clone, Args)]
pub struct GlobalArgs {
    /// Contexts file (HCL); by default $LATCH_CONTEXTS, ./.latch/contexts.hcl or ~/.config/latch/contexts.hcl
    #[arg(long, global = true, value_name = "FILE")]
    pub contexts: Option<PathBuf>,
    /// Name of the context to use from the file
    #[arg(long, global = true, value_name = "NAME")]
    pub context: Option<String>,
    /// Deadline for a request with all its retries, in seconds
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 15.0)]
    pub deadline: f64,
    /// Print JSON for programs (docs/client.md) instead of tables
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit jobs from files (HCL or JSON), or one job from flags
    Submit(SubmitArgs),
    /// List jobs, including finished ones
    List(ListArgs),
    /// Show a job and its tasks
    Show {
        id: String,
        /// Maximum number of tasks to show
        #[arg(long, default_value_t = 50)]
        tasks: usize,
    },
    /// Explain why a job, or one of its tasks, is in its current state
    Explain {
        id: String,
        /// Explain only this task
        #[arg(long)]
        task: Option<u32>,
    },
    /// Cancel jobs
    Cancel { ids: Vec<String> },
    /// Wait until jobs are done or withdrawn
    Wait {
        ids: Vec<String>,
        /// Give up after this many seconds
        #[arg(long, value_name = "SECONDS")]
        timeout: Option<f64>,
    },
    /// Show the leader's most recent decisions about a job
    Events { id: String },
    /// Print the output of a task's attempts
    Logs {
        id: String,
        #[arg(default_value_t = 0)]
        task: u32,
    },
    /// Show the controllers, their queues and machines
    Top {
        /// Print once instead of every two seconds
        #[arg(long)]
        once: bool,
    },
    /// Submit, show, list, cancel, retry or clear runs of graphs
    #[command(subcommand)]
    Graph(GraphCommand),
    /// Show or change the limits and guarantees of teams while the controllers run
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Check job files, and whether the context's controllers respond; submits nothing
    Check { files: Vec<PathBuf> },
    /// Print the completion script for a shell
    Completions { shell: Shell },
    /// Run a local cluster on this machine: key-value store, simulated cloud, workers, controllers
    Up(UpArgs),
    /// Run a demonstration in under a minute: a local cluster, a mixed batch, a controller killed halfway
    Demo(DemoArgs),
    /// Run or check a scale test on this machine: real controllers, simulated workers (docs/scale.md)
    #[command(subcommand)]
    Scale(ScaleCommand),
    /// Run a controller, as the program `olivelatch` does; `up` starts its controllers this way
    #[command(hide = true)]
    Controller(ControllerArgs),
}

#[derive(Debug, Subcommand)]
pub enum GraphCommand {
    /// Submit a run of a graph file (docs/flows.md)
    Submit {
        file: PathBuf,
        /// Name of the run, instead of the one in the file. Submitting a name again does not create another run
        #[arg(long)]
        run: Option<String>,
        /// Value of a variable of the file; lists are written as JSON
        #[arg(long = "var", value_name = "NAME=VALUE")]
        vars: Vec<String>,
        /// Wait until the run has finished
        #[arg(long)]
        wait: bool,
    },
    /// Show a run: its layers, node states, evidence of failures, and critical path
    Show {
        run: String,
        /// Print the graph in the DOT format of Graphviz
        #[arg(long, conflicts_with = "svg")]
        dot: bool,
        /// Print the graph as an SVG image
        #[arg(long)]
        svg: bool,
    },
    /// List runs
    List {
        /// List only runs of this graph
        #[arg(long)]
        graph: Option<String>,
    },
    /// Cancel a run: its running nodes are stopped, and no further node starts
    Cancel { run: String },
    /// Run failed and cancelled nodes again, with all nodes downstream of them
    Retry {
        run: String,
        #[arg(long)]
        wait: bool,
    },
    /// Run the named nodes again, with all nodes downstream of them
    Clear {
        run: String,
        #[arg(required = true)]
        nodes: Vec<String>,
        #[arg(long)]
        wait: bool,
    },
    /// Wait until a run has finished
    Wait {
        run: String,
        /// Give up after this many seconds
        #[arg(long, value_name = "SECONDS")]
        timeout: Option<f64>,
    },
    /// Check graph files; submits nothing
    Check {
        files: Vec<PathBuf>,
        #[arg(long = "var", value_name = "NAME=VALUE")]
        vars: Vec<String>,
    },
}

#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// List the entries of all teams: effective values, use, and whether changes are in force
    List,
    /// Show one entry, such as team/NAME
    Get { entry: String },
    /// Change an entry, up to what the platform's settings allow
    Set {
        entry: String,
        /// Maximum number of CPUs that the team may use
        #[arg(long, value_name = "CPUS")]
        limit_cpus: Option<f64>,
        /// Number of CPUs that the team is guaranteed
        #[arg(long, value_name = "CPUS")]
        guaranteed_cpus: Option<f64>,
        /// Reject the change unless the entry has this version (0: never set)
        #[arg(long, value_name = "VERSION")]
        expected: Option<u64>,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Clear an entry, so that the platform's settings apply
    Unset {
        entry: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Show what applying a file would change
    Diff {
        file: PathBuf,
        /// Compare with the cluster of this context; may be repeated
        #[arg(long = "to", value_name = "CONTEXT")]
        to: Vec<String>,
    },
    /// Apply a file; entries that it does not name stay unchanged
    Apply {
        file: PathBuf,
        /// Apply to the cluster of this context; may be repeated. Each cluster succeeds or fails separately
        #[arg(long = "to", value_name = "CONTEXT")]
        to: Vec<String>,
        /// Show what would change, without changing it
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

/// Who makes a change, why, and whether to wait for it.
#[derive(Debug, Clone, Default, Args)]
pub struct ChangeArgs {
    /// Wait until the change is in force; if it is not by --within, say which controller it waits for and
    /// exit with code 6
    #[arg(long)]
    pub wait: bool,
    #[arg(long, value_name = "SECONDS", default_value_t = 3.0)]
    pub within: f64,
    /// Who makes the change; by default the variable USER
    #[arg(long)]
    pub by: Option<String>,
    /// Reason for the change, stored with the entry
    #[arg(long)]
    pub why: Option<String>,
}

#[derive(Debug, Subcommand)]
pub enum ScaleCommand {
    /// Run a plan; exits with code 1 if an invariant was violated
    Run {
        /// Plan file (HCL); examples are in examples/scale
        plan: PathBuf,
        /// Folder for the report, the logs and the store file
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
        /// Log level of the controllers: error, info or debug
        #[arg(long, default_value = "error")]
        log_level: String,
    },
    /// Check a plan; starts nothing
    Check { plan: PathBuf },
    /// Run the simulated workers of a zone; `run` starts them this way
    #[command(hide = true)]
    Zone { arguments: String },
    /// Run the key-value store; `run` starts it this way
    #[command(hide = true)]
    State { arguments: String },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum ShapeArgument {
    Array,
    Gang,
    Service,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum UrgencyArgument {
    Critical,
    High,
    Normal,
    Low,
}

#[derive(Debug, Args)]
pub struct SubmitArgs {
    /// Job files; without any, one job is made from the flags
    pub files: Vec<PathBuf>,
    /// Wait until all jobs are done or withdrawn
    #[arg(long)]
    pub wait: bool,
    /// The job's id; generated if not given. Submitting an id again does not create another job
    #[arg(long)]
    pub id: Option<String>,
    #[arg(long, default_value = "default")]
    pub team: String,
    #[arg(long, default_value = "work")]
    pub class: String,
    #[arg(long, value_enum, default_value = "array")]
    pub shape: ShapeArgument,
    #[arg(long, value_enum, default_value = "normal")]
    pub urgency: UrgencyArgument,
    #[arg(long, default_value_t = 1)]
    pub tasks: u32,
    /// CPUs per task
    #[arg(long, default_value_t = 1.0)]
    pub cpus: f64,
    /// Memory per task, in GB
    #[arg(long, default_value_t = 0.1)]
    pub memory_gb: f64,
    /// Estimated run time of a task, in seconds
    #[arg(long, default_value_t = 10.0)]
    pub guess_s: f64,
    /// Time by which the job should be complete, in seconds from its submission
    #[arg(long)]
    pub due_s: Option<f64>,
    /// Environment variable of the command; may be repeated
    #[arg(long, value_name = "NAME=VALUE")]
    pub env: Vec<String>,
    /// Working directory of the command
    #[arg(long)]
    pub dir: Option<String>,
    /// The command that each task runs, after --
    #[arg(last = true)]
    pub command: Vec<String>,
}

#[derive(Debug, Args)]
pub struct ListArgs {
    /// List only jobs in this state: live, ended, pending, running, done or withdrawn
    #[arg(long)]
    pub state: Option<String>,
    #[arg(long)]
    pub team: Option<String>,
    #[arg(long)]
    pub class: Option<String>,
    /// Start after the job with this id
    #[arg(long)]
    pub after: Option<String>,
    /// Maximum number of jobs to show
    #[arg(long, default_value_t = 1000)]
    pub most: usize,
}

#[derive(Debug, Clone, Args)]
pub struct UpArgs {
    /// Folder of the cluster: stored state, logs, outputs. Using the folder again resumes the cluster
    #[arg(long, value_name = "DIR", default_value = ".latch")]
    pub state: PathBuf,
    #[arg(long, default_value_t = 3)]
    pub controllers: usize,
    /// Maximum number of machines that the simulated cloud provides
    #[arg(long, default_value_t = 4)]
    pub machines: usize,
    /// CPUs per machine; accounted, not enforced
    #[arg(long, default_value_t = 4.0)]
    pub cpus: f64,
    /// Memory per machine in GB; accounted, not enforced
    #[arg(long, default_value_t = 8.0)]
    pub memory_gb: f64,
    /// A team: its name, guaranteed CPUs and CPU limit (0: no limit); may be repeated
    #[arg(long = "team", value_name = "NAME=CPUS:MOST", default_value = "default=0:0")]
    pub teams: Vec<String>,
    /// Tunables file of the controllers (HCL); the defaults turn on the operators' interface, graphs and configuration
    #[arg(long, value_name = "FILE")]
    pub tunables: Option<PathBuf>,
    /// Program to run as controllers, instead of olivelatchctl itself
    #[arg(long, value_name = "PROGRAM")]
    pub controller: Option<PathBuf>,
    /// Log level of the controllers: error, info or debug
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

#[derive(Debug, Clone, Args)]
pub struct DemoArgs {
    /// Keep the folder of the cluster
    #[arg(long)]
    pub keep: bool,
    /// Number of tasks of the largest job
    #[arg(long, default_value_t = 120)]
    pub tasks: u32,
}

#[derive(Debug, Args)]
#[command(disable_help_flag = true)]
pub struct ControllerArgs {
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    pub rest: Vec<OsString>,
}

/// Prints the completion script for a shell.
pub fn completions(shell: Shell) {
    clap_complete::generate(shell, &mut Cli::command(), "olivelatchctl", &mut io::stdout());
}

#[cfg(test)]
#[path = "tests/args.rs"]
mod tests;
