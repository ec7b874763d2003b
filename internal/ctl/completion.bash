# Completion of eelgrassctl in bash: source <(eelgrassctl completion bash)
_eelgrassctl() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}" 2>/dev/null))
}
complete -o default -F _eelgrassctl eelgrassctl
