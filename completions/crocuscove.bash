# Completion of crocuscove for bash. Load it with: source completions/crocuscove.bash

_crocuscove_flags()
{
    local common="--help --version"
    local server="--output= --server= --timeout-ms= $common"
    case "$1" in
    serve)
        echo "--node= --cluster= --data-centre= --roles= --data-folder= --client-listen= --admin-listen= --peer-listen=" \
            "--peers= --voters= --platform= --seed= --log-level= $common"
        ;;
    control)
        echo "--name= --listen= --internal-port= --seeds= --first-start= --data-folder= --losses-borne= --vm-interface=" \
            "--task-lease-ms= --max-task-lease-ms= --max-order-delay-ms= --vm-lease-ms= --metrics-listen= --log-lines-per-event= --max-descriptors= $common"
        ;;
    entry) echo "--name= --listen= --ready-listen= --internal-port= --seeds= --stop-timeout-ms= --metrics-listen= --log-lines-per-event= $common" ;;
    check | storage-check | version) echo "--output= $common" ;;
    diff | history | list) echo "$server" ;;
    get) echo "--revision= $server" ;;
    apply) echo "--wait --request-id= --expected-revision= $server" ;;
    status) echo "--watch --interval-ms= $server" ;;
    *) echo "$common" ;;
    esac
}

# Asks the server for the services with a document, with the flags of the line that say where it is.
_crocuscove_services()
{
    local word flags=()
    for word in "${COMP_WORDS[@]}"; do
        [[ $word == --server=* ]] && flags+=("$word")
    done
    "${COMP_WORDS[0]}" list --timeout-ms=500 "${flags[@]}" 2>/dev/null | awk 'NR > 1 { print $1 }'
}

_crocuscove()
{
    local commands="serve control entry check diff apply get history list status storage-check version help"
    local line="${COMP_LINE:0:COMP_POINT}"
    local current="${line##* }"
    local command="${COMP_WORDS[1]}"
    COMPREPLY=()

    if [[ $COMP_CWORD -eq 1 ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$commands --help --version" -- "$current")
        return
    fi
    # bash splits words at '=', so only the value is replaced.
    if [[ $current == --output=* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "text json" -- "${current#--output=}")
        return
    fi
    if [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$(_crocuscove_flags "$command")" -- "$current")
        [[ ${#COMPREPLY[@]} -eq 1 && ${COMPREPLY[0]} == *= ]] && compopt -o nospace
        return
    fi
    case "$command" in
    check | diff | apply)
        compopt -o filenames
        mapfile -t COMPREPLY < <(compgen -f -X '!*.yaml' -- "$current"; compgen -d -- "$current")
        ;;
    storage-check)
        compopt -o filenames
        mapfile -t COMPREPLY < <(compgen -d -- "$current")
        ;;
    get | history) mapfile -t COMPREPLY < <(compgen -W "$(_crocuscove_services)" -- "$current") ;;
    help) mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current") ;;
    esac
}

complete -F _crocuscove crocuscove
