package standin

import "errors"

var errListen = errors.New("stand-in cannot listen")
